#
p1boxes"b2mintspring-followboxes"Btype.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment