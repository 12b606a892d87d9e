package cwengine

import (
	"context"

	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// ServeMembers implements cwport.MembersServer. An instance that doesn't run the group
// doesn't observe it.
func (e *Engine) ServeMembers(ctx context.Context, q cwport.MembersRequest) cwport.MembersResponse {
	g, ok := e.Group(q.Group)
	if !ok {
		return cwport.MembersResponse{}
	}
	return g.ServeMembers(ctx, q)
}

// Observers returns the holders of a group, to ask for reports of its members; nil if this
// instance asks nobody.
func (e *Engine) Observers(group string) []cwport.Observer {
	if e.cfg.Observers == nil {
		return nil
	}
	return e.cfg.Observers.Observers(group, e.capacity(group))
}

var _ cwport.MembersServer = (*Engine)(nil)
