package passthrough

import (
	"slices"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Evacuation is the request of an operator that the targets of a data centre get no new
// flows until it ends. Open flows stay where they are.
type Evacuation struct {
	DataCentre ids.DataCentre `cbor:"1,keyasint"`
	Era        uint64         `cbor:"2,keyasint,omitempty"` // era and revision of the request
	Revision   uint64         `cbor:"3,keyasint"`
	// Held is set while a restored platform does not have the request but may get it again.
	Held bool `cbor:"4,keyasint,omitempty"`
}

// evacuation is an evacuation in force.
type evacuation struct {
	Evacuation
	since ids.Time // when this instance learned of it
}

// SetEvacuations replaces the evacuations in force by list.
func (c *Core) SetEvacuations(now ids.Time, list []Evacuation) {
	tt := &c.targets
	for dc, old := range tt.evacuated {
		if !slices.ContainsFunc(list, func(e Evacuation) bool { return e.DataCentre == dc }) {
			delete(tt.evacuated, dc)
			c.addEvent(Event{Kind: EvacuationEnded, DataCentre: dc, Era: old.Era, Revision: old.Revision, Age: now.Sub(old.since)})
			tt.updateDataCentre(dc)
			c.warmUp(now, dc)
		}
	}
	for _, e := range list {
		old, known := tt.evacuated[e.DataCentre]
		if !known {
			old.since = now
		}
		tt.evacuated[e.DataCentre] = evacuation{e, old.since}
		if !known {
			c.addEvent(Event{Kind: EvacuationBegan, DataCentre: e.DataCentre, Era: e.Era, Revision: e.Revision})
			tt.updateDataCentre(e.DataCentre)
		}
	}
}

// warmUp treats the targets of dc as cold after an evacuation.
func (c *Core) warmUp(now ids.Time, dc ids.DataCentre) {
	for _, t := range c.targets.slots {
		if t != nil && t.DataCentre == dc {
			if d := c.routes.coldStarts[t.Service].Duration; d > 0 {
				t.coldState().returnedUntil = now.Add(d)
			}
		}
	}
}

// updateDataCentre adds the targets of dc to their pools or removes them, after an
// evacuation has begun or ended.
func (tt *targetTable) updateDataCentre(dc ids.DataCentre) {
	for _, t := range tt.slots {
		if t != nil && t.DataCentre == dc {
			tt.updatePool(t)
		}
	}
}
