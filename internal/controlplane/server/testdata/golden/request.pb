
17.42#
p1boxes"b2mintspring-followxy".type.googleapis.com/mintspring.control.v1.Part*32no part of a ring