package follow

import (
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/passthrough"
)

// ApplyTo passes the content of an update to the core that uses it. It reports whether the
// update has a newer configuration than the core had.
func (u *Update) ApplyTo(now ids.Time, core *passthrough.Core) (configured bool) {
	if u.AfterOutage {
		core.PlatformRecovered(now)
	}
	configured = u.Config != nil && core.ApplyConfig(u.Config)
	if u.Evacuations != nil {
		core.SetEvacuations(now, u.Evacuations.List)
	}
	var present []*passthrough.TargetRecord // records of a full state
	for _, t := range u.Targets {
		switch {
		case t.Unreadable:
			core.RemoveUnreadable(now, t.Name)
		case t.Removed:
			core.RemoveTarget(now, t.Name)
		case u.Complete:
			present = append(present, &t.Record)
		default:
			core.PutTarget(now, &t.Record)
		}
	}
	if u.Complete {
		core.ReplaceTargets(now, present)
	}
	return configured
}
