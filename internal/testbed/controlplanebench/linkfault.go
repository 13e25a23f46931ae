package controlplanebench

import (
	"fmt"
	"time"

	"mintspring/internal/testbed/fakeproxy"
)

// linkFault is a fault of the link between a proxy and the control plane.
type linkFault int

const (
	noFault linkFault = iota
	stalledLink
	lostMessage
	brokenLink
	shortStall
	repeatedBreaks
	linkFaultCount
)

// Parameters of the faults that last for a time.
const (
	shortStallDuration = 300 * time.Millisecond
	breakCount         = 8
	breakInterval      = 60 * time.Millisecond
)

func (f linkFault) String() string {
	switch f {
	case noFault:
		return "none"
	case stalledLink:
		return "stalled"
	case lostMessage:
		return "one message lost"
	case brokenLink:
		return "broken"
	case shortStall:
		return fmt.Sprintf("stalled for %v", shortStallDuration)
	case repeatedBreaks:
		return "broken repeatedly"
	}
	return fmt.Sprintf("linkFault(%d)", int(f))
}

// inject applies the fault to a link. It returns when the fault has ended, or at once if the fault lasts until the link is broken.
func (f linkFault) inject(link *fakeproxy.Link) {
	switch f {
	case stalledLink:
		link.SetStalled(true)
	case lostMessage:
		link.DropNext()
	case brokenLink:
		link.Break()
	case shortStall:
		link.SetStalled(true)
		time.Sleep(shortStallDuration)
		link.SetStalled(false)
	case repeatedBreaks:
		for range breakCount {
			link.Break()
			time.Sleep(breakInterval)
		}
	}
}
