package server

import (
	"errors"
	"io"
	"math"
	"net"
	"strconv"

	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"mintspring/internal/controlplane/loadreport"
)

// Names of the load metrics that servers attach to responses. A proxy reports their means over its reporting interval.
const (
	metricUtilization = "util"  // 0 to 1
	metricQueueLength = "queue" // number of waiting requests
	metricHitRate     = "hits"  // fraction of reads that are hits
)

// maxReportEndpoints is the maximum number of endpoints in one load report.
const maxReportEndpoints = 1 << 14

// loadReportService is Envoy's load reporting service.
type loadReportService struct {
	lrs.UnimplementedLoadReportingServiceServer
	server *Server
}

// StreamLoadStats receives the load reports of a proxy. The first message of the stream identifies the proxy.
func (l loadReportService) StreamLoadStats(grpcStream lrs.LoadReportingService_StreamLoadStatsServer) error {
	release, err := l.server.acquireStream()
	if err != nil {
		return err
	}
	defer release()
	var proxy proxyIdentity
	for first := true; ; first = false {
		message, err := grpcStream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if first {
			proxy = l.server.identify(grpcStream.Context(), message.Node)
			err := grpcStream.Send(&lrs.LoadStatsResponse{
				SendAllClusters:           true,
				ReportEndpointGranularity: true,
				LoadReportingInterval:     durationpb.New(l.server.config.LoadReportInterval),
			})
			if err != nil {
				return err
			}
		}
		reports, err := endpointReports(message)
		if err != nil {
			return err
		}
		if len(reports) > 0 {
			l.server.controller.AddLoadReports(proxy.name, reports)
		}
	}
}

// endpointReports returns the reports in a message, keyed by endpoint address.
func endpointReports(message *lrs.LoadStatsRequest) (map[string]loadreport.Report, error) {
	reports := map[string]loadreport.Report{}
	for _, cluster := range message.ClusterStats {
		for _, locality := range cluster.UpstreamLocalityStats {
			if len(reports)+len(locality.UpstreamEndpointStats) > maxReportEndpoints {
				return nil, status.Errorf(codes.InvalidArgument, "a load report of over %d endpoints", maxReportEndpoints)
			}
			for _, stats := range locality.UpstreamEndpointStats {
				if addr, report, ok := endpointReport(stats); ok {
					reports[addr] = report
				}
			}
		}
	}
	return reports, nil
}

// endpointReport returns the report of one endpoint. It reports false for an endpoint without a socket address.
func endpointReport(stats *endpoint.UpstreamEndpointStats) (addr string, report loadreport.Report, ok bool) {
	socketAddress := stats.GetAddress().GetSocketAddress()
	if socketAddress == nil {
		return "", loadreport.Report{}, false
	}
	report = loadreport.Report{
		Utilization: math.NaN(),
		QueueLength: math.NaN(),
		HitRate:     math.NaN(),
		Responses:   float64(stats.TotalSuccessfulRequests),
	}
	for _, metric := range stats.LoadMetricStats {
		if metric.NumRequestsFinishedWithMetric == 0 {
			continue
		}
		mean := metric.TotalMetricValue / float64(metric.NumRequestsFinishedWithMetric)
		switch metric.MetricName {
		case metricUtilization:
			report.Utilization = mean
		case metricQueueLength:
			report.QueueLength = mean
		case metricHitRate:
			report.HitRate = mean
		}
	}
	port := strconv.Itoa(int(socketAddress.GetPortValue()))
	return net.JoinHostPort(socketAddress.Address, port), report, true
}
