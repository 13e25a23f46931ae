package lease

// maxPendingRequests is the number of requests whose send times a client stores. Results of requests that it has dropped are ignored.
const maxPendingRequests = 16

// Client acquires and renews a lease for one process. It sends nothing itself. It is not safe for concurrent use.
type Client struct {
	Name      string // of the lease
	Process   Process
	TTLMillis float64 // of the lease, if this client's request creates it

	token         Token   // of the last grant to this process
	validUntil    float64 // end of the lease by the process's own clock; 0: not held
	releasedToken Token   // of the last lease that was released; results with this token or a lower one are ignored
	lastRequestID uint64
	sentAt        map[uint64]float64 // send times of pending requests by ID
}

// NewClient returns a client that does not hold the lease yet.
func NewClient(name string, p Process, ttlMillis float64) *Client {
	return &Client{Name: name, Process: p, TTLMillis: ttlMillis, sentAt: map[uint64]float64{}}
}

// NextRequest returns the command to send now, which acquires or renews the lease, and the ID to pass to HandleResult with its result.
func (c *Client) NextRequest(now float64) (id uint64, cmd Command) {
	c.lastRequestID++
	if len(c.sentAt) >= maxPendingRequests {
		clear(c.sentAt)
	}
	c.sentAt[c.lastRequestID] = now
	if c.MayAct(now, 0) {
		return c.lastRequestID, Command{Kind: KindRenew, Name: c.Name, Process: c.Process, Token: c.token}
	}
	return c.lastRequestID, Command{Kind: KindAcquire, Name: c.Name, Process: c.Process, TTLMillis: c.TTLMillis}
}

// HandleResult processes the result of a request. The TTL of a lease that it grants or renews counts from the time at which the request was sent.
func (c *Client) HandleResult(id uint64, r Result) {
	sentAt, pending := c.sentAt[id]
	if !pending {
		return
	}
	delete(c.sentAt, id)
	granted := r.OK && r.Held && r.Holder == c.Process
	if !granted || r.Token < c.token || r.Token <= c.releasedToken {
		return
	}
	if r.Token > c.token {
		c.token, c.validUntil = r.Token, 0
	}
	c.validUntil = max(c.validUntil, sentAt+r.TTLMillis)
}

// MayAct reports whether the process holds the lease for the next durationMillis, so that a step of that duration may begin now.
func (c *Client) MayAct(now, durationMillis float64) bool {
	return c.validUntil > 0 && now+durationMillis <= c.validUntil
}

// Token returns the fencing token of the last grant.
func (c *Client) Token() Token { return c.token }

// Release gives up the lease at once and returns the command that tells the consensus group. If that command is lost, the lease expires.
func (c *Client) Release() Command {
	c.validUntil, c.releasedToken = 0, c.token
	return Command{Kind: KindRelease, Name: c.Name, Process: c.Process, Token: c.token}
}
