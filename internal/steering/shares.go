package steering

import "sycamoreledge.example/internal/routing"

// Assign returns the part of a route that gets a request. Objects keep to one
// part as long as the parts' shares stay close to their weights.
func (c *Core) Assign(r *routing.Route, object string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.routeOf(r)
	return state.assign(r, object)
}

const (
	// shareTolerance is by how much the share of a part may differ from its weight
	// for the sake of objects that keep to one part.
	shareTolerance = 0.02
	// shareMemory is the number of requests over which shares are counted.
	shareMemory = 200
)

func (s *routeState) assign(r *routing.Route, object string) string {
	sum := 0.0
	for _, share := range r.Shares {
		sum += share.Weight
	}
	point := rank(keyOf(object), keyOf(r.Prefix)) * sum
	behind, most := "", 0.0
	var preferred routing.Share
	for _, share := range r.Shares {
		if point >= 0 && point < share.Weight {
			preferred = share
		}
		point -= share.Weight
		lag := (s.total+1)*share.Weight/sum - s.given[share.Service]
		if behind == "" || lag > most {
			behind, most = share.Service, lag
		}
	}
	chosen := behind
	if object != "" && preferred.Service != "" &&
		s.given[preferred.Service]+1 <= (s.total+1)*(preferred.Weight/sum)+shareTolerance*s.total+1 {
		chosen = preferred.Service
	}
	s.given[chosen]++
	s.total++
	if s.total > shareMemory {
		for name := range s.given {
			s.given[name] /= 2
		}
		s.total /= 2
	}
	return chosen
}
