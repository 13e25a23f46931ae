package node

import (
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"mintspring/internal/testbed/logrecorder"
)

// At level debug the attempts of a request are logged with its id, and its key is not logged.
func TestRequestLog(t *testing.T) {
	tc := newTestCluster(t, 1, serveMiss, echoOrigin)
	var log logrecorder.Recorder
	logger := tc.node.log.Logger
	tc.onLoop(func(float64) {
		logger.SetOutput(&log)
		logger.SetLevel(logrus.DebugLevel)
	})
	tc.expectPrefix(tc.request("KV.GET", "secret", "q-17", "c=read,d=500"), "GET /secret")
	tc.onLoop(func(float64) {})
	for _, want := range []string{
		`msg="request finished"`, "id=q-17", "outcome=completed", "s0 +0 missed, o +", " completed\"", "timeout_ms=",
		`msg="attempt completed"`, "since_reply_ms=-1", "connection=1 ",
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("%q is not in %s", want, log.String())
		}
	}
	if strings.Contains(log.String(), "secret") {
		t.Error("the key is logged")
	}
}
