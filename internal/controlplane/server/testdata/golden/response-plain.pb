
17.425
.type.googleapis.com/mintspring.control.v1.Part3
.type.googleapis.com/mintspring.control.v1.Part".type.googleapis.com/mintspring.control.v1.Part*3