
17.42".type.googleapis.com/mintspring.control.v1.Part