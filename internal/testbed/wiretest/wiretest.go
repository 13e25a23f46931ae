// Package wiretest compares the datagrams of the cluster protocols with golden files. Only test files may import it.
package wiretest

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"

	"mintspring/internal/cluster/simnet"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/testbed/goldentest"
)

// Encode encodes each message as a datagram.
func Encode(messages []*wire.Message) [][]byte {
	var datagrams [][]byte
	for _, message := range messages {
		datagrams = append(datagrams, message.Append(nil))
	}
	return datagrams
}

// CheckDatagrams checks that datagrams equal those of a golden file, which holds one per line in hexadecimal digits, and that each can be
// parsed and encoded to the same bytes again. It returns the parsed messages.
func CheckDatagrams(t *testing.T, name string, datagrams [][]byte) []*wire.Message {
	t.Helper()
	want := strings.Fields(string(goldentest.Read(t, name)))
	var parsed []*wire.Message
	for i, line := range want {
		if i >= len(datagrams) || hex.EncodeToString(datagrams[i]) != line {
			t.Fatalf("datagram %d of %d differs, want\n%s", i, len(datagrams), line)
		}
		message, err := wire.Parse(datagrams[i])
		if err != nil || !bytes.Equal(message.Append(nil), datagrams[i]) {
			t.Fatalf("datagram %d is decoded as %+v, %v", i, message, err)
		}
		parsed = append(parsed, message)
	}
	if len(datagrams) != len(want) {
		t.Fatalf("%d datagrams, want %d", len(datagrams), len(want))
	}
	return parsed
}

// Recorder is a process of a simulated network that records the datagrams it sends.
type Recorder struct {
	Process   simnet.Process
	Datagrams *[][]byte // may be shared by the processes of a network
}

// Tick runs the process's periodic work and records the messages that it sends.
func (r Recorder) Tick(now float64) []*wire.Message { return r.record(r.Process.Tick(now)) }

// Handle passes a message to the process and records the messages that it sends.
func (r Recorder) Handle(now float64, m *wire.Message) []*wire.Message {
	return r.record(r.Process.Handle(now, m))
}

func (r Recorder) record(sent []*wire.Message) []*wire.Message {
	*r.Datagrams = append(*r.Datagrams, Encode(sent)...)
	return sent
}
