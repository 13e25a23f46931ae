
#
p1boxes"b2mintspring-followBtype.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignmentboxes