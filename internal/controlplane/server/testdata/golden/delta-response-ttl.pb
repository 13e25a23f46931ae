
17.42T
17.425
.type.googleapis.com/mintspring.control.v1.Part
boxes/head2€Êµîc
0123456789abcdef3
.type.googleapis.com/mintspring.control.v1.Partboxes/whole/00002€Êµî"Btype.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment*4