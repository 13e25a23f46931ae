
#
p1boxes"b2mintspring-follow.type.googleapis.com/mintspring.control.v1.Partx"y*

boxes/head17.42*$
boxes/whole/00000123456789abcdef23:no part of a ring