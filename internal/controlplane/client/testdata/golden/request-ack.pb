
17.43".type.googleapis.com/mintspring.control.v1.Part*3