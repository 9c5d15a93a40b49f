package quarantine

import "time"

// suspect is a request that ran on servers as they died.
type suspect struct {
	tokens map[string]int // produced on each of the servers
	order  []string       // the servers as they died
	last   string         // the one that died last
	latest time.Time
}

func (s *suspect) add(server string, tokens int, now time.Time) {
	s.tokens[server] = tokens
	s.order = append(s.order, server)
	s.last = server
	s.latest = now
}

// alike tells whether two servers died after about as many tokens.
func (s *suspect) alike() bool {
	for a, n := range s.tokens {
		for b, m := range s.tokens {
			if a < b && max(n-m, m-n) <= alikeTokens {
				return true
			}
		}
	}
	return false
}

// covers tells whether s ran on all the servers of other.
func (s *suspect) covers(other *suspect) bool {
	for server := range other.tokens {
		if _, found := s.tokens[server]; !found {
			return false
		}
	}
	return true
}
