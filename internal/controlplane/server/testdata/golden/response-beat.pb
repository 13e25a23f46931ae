
17.42X
7type.googleapis.com/envoy.service.discovery.v3.Resource
17.42
boxes/head2€Êµîi
7type.googleapis.com/envoy.service.discovery.v3.Resource.
0123456789abcdefboxes/whole/00002€Êµî"Btype.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment*5