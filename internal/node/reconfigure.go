package node

import (
	"errors"

	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
	"mintspring/internal/node/clients"
)

// reconfigurable is a policy whose limits can be changed at run time.
type reconfigurable interface {
	Reconfigure(now float64, limits fleet.Limits)
}

var errNotReconfigurable = errors.New("this policy cannot be reconfigured at run time")

// Reconfigure applies new settings while the node serves. Requests in flight keep the class under which they arrived. The seed, the way
// of following the endpoint list and the timeouts of connections do not change. If Reconfigure returns an error, nothing has changed.
func (n *Node) Reconfigure(deployment settings.Deployment) error {
	_, err := onLoop(n, func(now float64) (struct{}, error) { return struct{}{}, n.reconfigure(now, deployment) })
	return err
}

func (n *Node) reconfigure(now float64, deployment settings.Deployment) error {
	policy, ok := n.inflight.Policy.(reconfigurable)
	if !ok {
		return errNotReconfigurable
	}
	if err := n.classes.Update(now, deployment.RequestClasses, deployment.Limits.Classes); err != nil {
		return err
	}
	deployment.Limits.Seed, deployment.Limits.Subscribe = n.deployment.Limits.Seed, n.deployment.Limits.Subscribe
	deployment.ConnIdleTimeout, deployment.ConnectTimeout = n.deployment.ConnIdleTimeout, n.deployment.ConnectTimeout
	n.deployment = deployment
	if n.snapshots != nil {
		n.snapshots.config.PolicyFingerprint = policyFingerprint(deployment) // the next start has these settings
	}
	// Requests that arrived under the previous settings may still be in flight.
	n.serverTable.Retention = max(n.serverTable.Retention, SlotRetention(&deployment))
	limits := deployment.Limits
	limits.Classes, limits.Subscribe = n.classes.Classes(), true
	policy.Reconfigure(now, limits)
	n.reapplyEndpoints(now) // zones and kinds are numbered by their order in the settings
	// Last: a request of a new class must not arrive before the policy knows the class.
	n.frontend.SetConfig(clients.NewConfig(deployment, n.classes.ID))
	return nil
}
