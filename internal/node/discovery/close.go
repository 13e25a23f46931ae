package discovery

// Close cancels the current watch without a callback. Watch and SwitchTo must not be called afterwards. A call started by Poll is not
// cancelled; it ends within its timeouts.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelWatch != nil {
		c.cancelWatch()
	}
	c.watching = false
}
