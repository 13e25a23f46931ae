
17.42
17.42
boxes/head2€Êµî.
0123456789abcdefboxes/whole/00002€Êµî"Btype.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment*5