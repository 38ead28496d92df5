package share

import (
	"slices"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// MaxMin returns the weighted max-min fair allocation of capacity: no partner
// gets more than its demand, and capacity that a partner does not use is divided
// among the others in proportion to their weights. capacity and demand have the same
// unit. The weight of a partner that is missing from weight is 1.
func MaxMin(capacity float64, demand map[ids.Partner]float64, weight map[ids.Partner]uint32) map[ids.Partner]float64 {
	type claim struct {
		name           ids.Partner
		demand, weight float64
	}
	claims := make([]claim, 0, len(demand))
	total := 0.0
	for name, d := range demand {
		w := float64(max(weight[name], 1))
		claims = append(claims, claim{name, max(d, 0), w})
		total += w
	}
	// In order of demand divided by weight, each partner gets the lesser of its demand
	// and its weighted share of the remaining capacity.
	slices.SortFunc(claims, func(a, b claim) int {
		switch l, r := a.demand*b.weight, b.demand*a.weight; {
		case l < r:
			return -1
		case l > r:
			return 1
		}
		if a.name < b.name {
			return -1
		}
		return 1
	})
	result := make(map[ids.Partner]float64, len(claims))
	remaining := max(capacity, 0)
	for _, c := range claims {
		granted := min(c.demand, remaining*c.weight/total)
		result[c.name] = granted
		remaining -= granted
		total -= c.weight
	}
	return result
}
