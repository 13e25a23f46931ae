
17.43".type.googleapis.com/mintspring.control.v1.Part*42no part of a ring