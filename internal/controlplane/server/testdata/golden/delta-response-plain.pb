
17.42J
17.425
.type.googleapis.com/mintspring.control.v1.Part
boxes/headY
0123456789abcdef3
.type.googleapis.com/mintspring.control.v1.Partboxes/whole/0000".type.googleapis.com/mintspring.control.v1.Part*3