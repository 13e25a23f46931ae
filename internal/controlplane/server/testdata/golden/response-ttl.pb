
17.42è
7type.googleapis.com/envoy.service.discovery.v3.ResourceT
17.425
.type.googleapis.com/mintspring.control.v1.Part
boxes/head2Ä µÓû
7type.googleapis.com/envoy.service.discovery.v3.Resourcec
0123456789abcdef3
.type.googleapis.com/mintspring.control.v1.Partboxes/whole/00002Ä µÓ"Btype.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment*4