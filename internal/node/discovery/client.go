// Package discovery is the client of the discovery service. It requests the endpoint list and watches it for changes.
package discovery

import (
	"cmp"
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"
)

// Timeouts bound the parts of a call to the discovery service. Their sums matter too: the node must know of a change within 6 s of the time at
// which the service can deliver it, even if calls fail in between.
//
// There are two worst cases before a call that succeeds. First, a watch stops receiving data: it ends after Idle (3.2 s), and the decision
// module starts the next call after at most its shortest backoff, which is a latency objective (for instance 1 s). That takes 4.2 s and
// leaves 1.8 s for the response. Second, the service recovers just after the start of a call that does not reach it: the call ends after
// Header (2.3 s), and the longest backoff of the module (1.5 s) follows. That takes 3.8 s and leaves 2.2 s for the response. A call that
// receives no line at all takes at most Header + Idle, 5.5 s.
type Timeouts struct {
	Dial   time.Duration // time limit for connecting, which also counts towards Header
	Header time.Duration // time limit from the start of the call to the end of the response header; the service rejects calls after 2 s
	Idle   time.Duration // time limit between two lines; on a watch without changes the service sends an empty line every 2 s
}

// Default timeouts of a Client.
const (
	defaultDialTimeout   = time.Second
	defaultHeaderTimeout = 2300 * time.Millisecond
	DefaultIdleTimeout   = 3200 * time.Millisecond
)

// Client calls the discovery service. Each call runs in its own goroutine, which ends with the call. The callbacks are called from that
// goroutine and must not block. The methods are safe for concurrent use.
type Client struct {
	Addr       string       // address of the service; guarded by mu after the first call, see SwitchTo and ServiceAddr
	OnUpdate   func(Update) // called for each update, with mu held: it must not call methods of the client
	OnError    func(error)  // called when a call fails or a watch ends, unless a later watch has replaced it
	OnActivity func()       // if not nil, called for each line of a response, including empty lines
	Timeouts   Timeouts     // zero value: the defaults

	mu            sync.Mutex         // guards the fields below
	watching      bool               // the current watch is running
	revision      int64              // last revision received
	confirmedAt   time.Time          // when the list was last known to be complete; zero: never
	needsFullList bool               // revision is from another service, so the next watch must request the full list first
	cancelWatch   context.CancelFunc // ends the current watch; nil: there was none yet
}

// SetRevision sets the revision of an endpoint list that is known from elsewhere. It must be called before the first Watch or Poll.
func (c *Client) SetRevision(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = revision
}

// ConfirmList records that the current list is complete, for instance because the predecessor has watched it until now.
func (c *Client) ConfirmList() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmList()
}

// confirmList records that the list is complete and returns the time since the previous confirmation, or a negative value if there was none.
// The caller holds mu.
func (c *Client) confirmList() (before time.Duration) {
	now := time.Now()
	before = -1
	if !c.confirmedAt.IsZero() {
		before = now.Sub(c.confirmedAt)
	}
	c.confirmedAt = now
	return before
}

// heartbeat handles an empty line, which confirms that nothing has changed. It ignores lines of a call that was replaced.
func (c *Client) heartbeat(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() == nil && !c.confirmedAt.IsZero() {
		c.confirmList()
	}
}

// Revision returns the last revision received.
func (c *Client) Revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// ServiceAddr returns the address of the service that is called.
func (c *Client) ServiceAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Addr
}

// Watch starts a watch for changes since the last revision. A running watch is cancelled without a callback.
func (c *Client) Watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startWatch()
}

// startWatch implements Watch. The caller holds mu.
func (c *Client) startWatch() {
	ctx, cancel := context.WithCancel(context.Background())
	if c.cancelWatch != nil {
		c.cancelWatch()
	}
	c.cancelWatch = cancel
	c.watching = true
	go c.runWatch(ctx, c.Addr)
}

func (c *Client) runWatch(ctx context.Context, addr string) {
	err := c.run(ctx, addr, true)
	c.mu.Lock()
	current := ctx.Err() == nil
	if current {
		c.watching = false
	}
	c.mu.Unlock()
	if current {
		c.OnError(err)
	}
}

// Watching reports whether a watch is running, including the request of the full list before it. Callers that handle a failure late use it
// to avoid starting a second watch when the next one has already been started.
func (c *Client) Watching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watching
}

// Poll requests the full list once, without watching it.
func (c *Client) Poll() {
	c.mu.Lock()
	addr := c.Addr
	c.mu.Unlock()
	go func() {
		if err := c.run(context.Background(), addr, false); err != nil {
			c.OnError(err)
		}
	}()
}

// SwitchTo starts a watch of the discovery service at another address. The current watch is cancelled without a callback, and updates that
// still arrive from the old address are dropped.
func (c *Client) SwitchTo(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Addr, c.needsFullList = addr, true
	c.startWatch()
}

// run makes one call, or two if a watch must request the full list first, and delivers their updates.
func (c *Client) run(ctx context.Context, addr string, watch bool) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic in a call to the discovery service: %v", p)
		}
	}()
	c.mu.Lock()
	needsFullList := c.needsFullList
	c.mu.Unlock()
	// Another service may number its revisions differently. Its changes since a revision of the old service could lack earlier changes; its
	// full list is complete.
	if !watch || needsFullList {
		if err := c.stream(ctx, addr, listPath); err != nil || !watch {
			return err
		}
	}
	path := listPath + "?watch=1&from=" + strconv.FormatInt(c.Revision(), 10)
	return c.stream(ctx, addr, path)
}

func (c *Client) timeouts() Timeouts {
	return cmp.Or(c.Timeouts, Timeouts{Dial: defaultDialTimeout, Header: defaultHeaderTimeout, Idle: DefaultIdleTimeout})
}

// deliver passes an update to OnUpdate. An update with an entry that cannot be parsed fails the call and changes nothing.
func (c *Client) deliver(ctx context.Context, addr string, u Update) error {
	if err := u.parseMembers(); err != nil {
		return fmt.Errorf("reading the endpoint list: %w", err)
	}
	// mu is held during the callback, so that an update of a call that was replaced cannot follow an update of the call that replaced it.
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	if addr != c.Addr {
		return errSwitched
	}
	if u.Complete {
		c.revision, c.needsFullList = u.Revision, false // a full list may lower the revision: the service may have restarted its count
	} else {
		c.revision = max(c.revision, u.Revision)
	}
	u.ConfirmedAgo, u.Source = c.confirmList(), Source{addr, c.revision}
	c.OnUpdate(u)
	return nil
}
