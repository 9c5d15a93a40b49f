package quarantine

import "time"

// suspect is a request that was running on one or more servers when they died.
type suspect struct {
	tokens     map[string]int // tokens produced, by server
	deathOrder []string       // the servers in the order of their deaths
	lastServer string         // the server that died last
	lastDeath  time.Time
}

func (s *suspect) add(server string, tokens int, now time.Time) {
	s.tokens[server] = tokens
	s.deathOrder = append(s.deathOrder, server)
	s.lastServer = server
	s.lastDeath = now
}

// hasSimilarDeaths reports whether any two servers died after numbers of tokens
// that differ by at most tokenTolerance.
func (s *suspect) hasSimilarDeaths() bool {
	for a, n := range s.tokens {
		for b, m := range s.tokens {
			if a < b && max(n-m, m-n) <= tokenTolerance {
				return true
			}
		}
	}
	return false
}

// ranOnAllOf reports whether s ran on all servers that other ran on.
func (s *suspect) ranOnAllOf(other *suspect) bool {
	for server := range other.tokens {
		if _, found := s.tokens[server]; !found {
			return false
		}
	}
	return true
}
