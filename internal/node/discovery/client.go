// Package discovery is the client of the discovery service: it requests the endpoint list and watches its changes.
package discovery

import (
	"cmp"
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"
)

// Timeouts bound the parts of a call. Each is bounded by itself, and their sum is what counts: a change that the discovery
// service can deliver is taken to be known 6 s later, whatever became of the calls meanwhile.
//
// Before a call that succeeds, the worst is one of these. A watch falls silent (Idle, 3.2 s), its end is reported, and the
// decision module starts the next call after at most its shortest backoff (a latency objective): 4.2 s with one of 1 s, and
// 1.8 s are left for a response. Or the service comes back just after a call has started that does not reach it: the call
// ends (Header, 2.3 s) and the longest backoff of the module is added (1.5 s): 3.8 s, and 2.2 s are left. Until its first
// line has come, a call itself takes Header + Idle, 5.5 s, at most.
type Timeouts struct {
	Dial   time.Duration // to connect, within Header
	Header time.Duration // from the start of the call to the end of the response's header; the service rejects calls after 2 s
	Idle   time.Duration // from one line to the next; while nothing changes a watch sends an empty one every 2 s
}

// The timeouts of a client that has none of its own.
const (
	defaultDialTimeout   = time.Second
	defaultHeaderTimeout = 2300 * time.Millisecond
	DefaultIdleTimeout   = 3200 * time.Millisecond
)

// Client calls the discovery service. Each call runs in a goroutine of its own, which ends with the call. The callbacks are
// called from it and must not block. The methods may be called from several goroutines.
type Client struct {
	Addr       string       // guarded by mu once a call was started; see SwitchTo and ListSource
	OnUpdate   func(Update) // called for what a call brings, with mu held: it must not call the client
	OnError    func(error)  // called when a call fails or a watch ends, unless a later one has replaced it
	OnActivity func()       // nil, or called for each line of a response, also one that says that nothing has changed
	Timeouts   Timeouts     // the zero value stands for the defaults

	mu            sync.Mutex         // guards the fields below
	watching      bool               // a watch is running that was not replaced
	revision      int64              // the last one received
	confirmedAt   time.Time          // when the list was last known to be complete; zero: it never was
	needsFullList bool               // revision is of another service, so a full list is due before the next watch
	cancelWatch   context.CancelFunc // nil, or ends the current watch
}

// SetRevision sets the revision that is known already. It has to be called before the first call.
func (c *Client) SetRevision(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = revision
}

// ConfirmList records that the list which is known now is complete, as it is where another process has followed it until now.
func (c *Client) ConfirmList() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmList()
}

// confirmList is called with mu held. It returns how long ago the list was confirmed before; negative: it never was.
func (c *Client) confirmList() (before time.Duration) {
	now := time.Now()
	before = -1
	if !c.confirmedAt.IsZero() {
		before = now.Sub(c.confirmedAt)
	}
	c.confirmedAt = now
	return before
}

// heartbeat records an empty line, which says that nothing has changed. What comes on a call that was replaced says nothing.
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

// ListSource returns the address of the service that sent the endpoint list, and the revision of the list there. After SwitchTo the
// address is empty until the service at the new address has sent a full list: the revision means nothing there.
func (c *Client) ListSource() (addr string, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.needsFullList {
		return "", c.revision
	}
	return c.Addr, c.revision
}

// Watch starts to watch for changes since the last revision. A watch that runs already ends without a callback.
func (c *Client) Watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startWatch()
}

// startWatch is called with mu held.
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

// Watching reports whether a watch is running, or a call that will become one. A failure that is handled late, when the
// next call has been started already, is no reason to start another.
func (c *Client) Watching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watching
}

// Poll requests the full list once.
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

// SwitchTo watches the discovery service at another address, at once. The current watch ends without a callback, and what
// the service at the old address still sends is dropped.
func (c *Client) SwitchTo(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Addr, c.needsFullList = addr, true
	c.startWatch()
}

// run makes one call, or the two of a watch of another service, and delivers what they bring until they end.
func (c *Client) run(ctx context.Context, addr string, watch bool) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic in a call to the discovery service: %v", p)
		}
	}()
	c.mu.Lock()
	needsFullList := c.needsFullList
	c.mu.Unlock()
	// Another service may number its revisions in another way: its changes since a revision of the old one, or since one
	// that it has not reached yet, would lack what it had before. Its full list does not.
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

// deliver passes one update on. One that cannot be read fails the call, and the list stays as it is.
func (c *Client) deliver(ctx context.Context, addr string, u Update) error {
	if err := u.validate(); err != nil {
		return fmt.Errorf("reading the endpoint list: %w", err)
	}
	// The callback is called with the lock held, so that what a call brings that was replaced meanwhile cannot follow what
	// its successor brings.
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	if addr != c.Addr {
		return errSwitched
	}
	if u.Complete {
		c.revision, c.needsFullList = u.Revision, false // the service may have begun to count anew
	} else {
		c.revision = max(c.revision, u.Revision)
	}
	u.ConfirmedAgo = c.confirmList()
	c.OnUpdate(u)
	return nil
}
