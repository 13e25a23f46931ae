.type.googleapis.com/mintspring.control.v1.Part*

boxes/head17.42*$
boxes/whole/00000123456789abcdef