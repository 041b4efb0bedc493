package relayer

import (
	"errors"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

var errMalformedMap = errors.New("number of experts in an expert map is not the sum of those of its ranks")

// EncodeMap encodes an expert map.
func EncodeMap(m carawaybeam.ExpertMap) *framer.PrepareOrder {
	p := &framer.PrepareOrder{Version: uint64(m.Version), Layers: uint32(len(m.Layers))}
	for _, layer := range m.Layers {
		p.Ranks = uint32(len(layer))
		for _, held := range layer {
			p.Counts = append(p.Counts, uint32(len(held)))
			for _, e := range held {
				p.Experts = append(p.Experts, uint32(e))
			}
		}
	}
	return p
}

// DecodeMap decodes an expert map that EncodeMap has encoded. It returns an error if the
// numbers of experts do not match.
func DecodeMap(p *framer.PrepareOrder) (carawaybeam.ExpertMap, error) {
	m := carawaybeam.ExpertMap{Version: carawaybeam.MapVersion(p.GetVersion())}
	counts, experts := p.GetCounts(), p.GetExperts()
	ranks := int(p.GetRanks())
	if ranks == 0 || uint64(p.GetLayers())*uint64(ranks) != uint64(len(counts)) {
		return m, errMalformedMap
	}
	for len(counts) > 0 {
		layer := make([][]carawaybeam.Expert, ranks)
		for rank, n := range counts[:ranks] {
			if uint64(n) > uint64(len(experts)) {
				return m, errMalformedMap
			}
			layer[rank] = make([]carawaybeam.Expert, n)
			for i, e := range experts[:n] {
				layer[rank][i] = carawaybeam.Expert(e)
			}
			experts = experts[n:]
		}
		m.Layers, counts = append(m.Layers, layer), counts[ranks:]
	}
	if len(experts) > 0 {
		return m, errMalformedMap
	}
	return m, nil
}
