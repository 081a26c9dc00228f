package routing

// homePrefixLevel is the index of the prefix that selects the home server of a prompt whose
// prefixes no server holds.
const homePrefixLevel = 2

// sentPrefixes holds the prefixes that this entry recently sent to a backend server, oldest
// first.
type sentPrefixes struct {
	order  []uint64
	counts map[uint64]int
}

// maxSentPrefixes bounds the prefixes that are kept for one backend server.
const maxSentPrefixes = 256

func (p *sentPrefixes) add(hashes []uint64) {
	if p.counts == nil {
		p.counts = map[uint64]int{}
	}
	for _, hash := range hashes {
		p.order = append(p.order, hash)
		p.counts[hash]++
	}
	for len(p.order) > maxSentPrefixes {
		oldest := p.order[0]
		p.order = p.order[1:]
		if p.counts[oldest]--; p.counts[oldest] == 0 {
			delete(p.counts, oldest)
		}
	}
}

func (p *sentPrefixes) contains(hash uint64) bool { return p.counts[hash] > 0 }
