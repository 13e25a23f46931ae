package snapshot

import (
	"time"

	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	xtype "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/durationpb"
)

// panicThresholdOff disables Envoy's panic mode, in which a proxy also sends to draining endpoints because too few are healthy. Envoy's
// default threshold is 50%.
var panicThresholdOff = &xtype.Percent{Value: 0}

// newCluster returns the cluster for proxies that use endpoint weights instead of the ring. They receive endpoints over ADS and apply
// Envoy's own ring hash by weights.
func newCluster(input *Input) *cluster.Cluster {
	return &cluster.Cluster{
		Name:                 input.Cluster,
		ClusterDiscoveryType: &cluster.Cluster_Type{Type: cluster.Cluster_EDS},
		EdsClusterConfig: &cluster.Cluster_EdsClusterConfig{
			ServiceName: input.Cluster,
			EdsConfig: &core.ConfigSource{
				ResourceApiVersion:    core.ApiVersion_V3,
				ConfigSourceSpecifier: &core.ConfigSource_Ads{Ads: &core.AggregatedConfigSource{}},
			},
		},
		ConnectTimeout: durationpb.New(time.Duration(input.ConnectTimeoutMs * float64(time.Millisecond))),
		LbPolicy:       cluster.Cluster_RING_HASH,
		// Locality weights stay off: with them Envoy selects a locality before it looks up the key on the ring.
		CommonLbConfig: &cluster.Cluster_CommonLbConfig{HealthyPanicThreshold: panicThresholdOff},
	}
}
