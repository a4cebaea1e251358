package pipeline

import (
	"math"
	"time"
)

const (
	// linkMemory is the time over which the prompts sent between two zones are
	// averaged. A prompt of a thousand tokens takes some 20 ms on a link.
	linkMemory = time.Second
	// linkFull bounds the estimated use of a link in the cost of a hop.
	linkFull    = 0.9
	bitsPerByte = 8
)

// Link is the link between two zones, in alphabetical order.
type Link struct{ A, B string }

// LinkBetween returns the link between two different zones.
func LinkBetween(a, b string) Link {
	if b < a {
		a, b = b, a
	}
	return Link{A: a, B: b}
}

// linkLoad is a moving mean of the prompt tokens sent over a link.
type linkLoad struct {
	// sum decays with linkMemory.
	sum     float64
	at      time.Time
	foreign float64 // tokens a second
}

func (l *linkLoad) decay(now time.Time) {
	if dt := now.Sub(l.at); dt > 0 {
		l.sum *= math.Exp(-dt.Seconds() / linkMemory.Seconds())
		l.at = now
	}
}

// rate returns the tokens a second of this instance.
func (l *linkLoad) rate(now time.Time) float64 {
	l.decay(now)
	return l.sum / linkMemory.Seconds()
}

// link returns the load between two zones.
func (f *Fleet) link(a, b string) *linkLoad {
	k := LinkBetween(a, b)
	l := f.links[k]
	if l == nil {
		l = &linkLoad{}
		f.links[k] = l
	}
	return l
}

// sendPrompt notes the prompt that passes between the zones of a path.
func (f *Fleet) sendPrompt(now time.Time, p Path, d Demand) {
	for i := 1; i < len(p); i++ {
		if p[i].Zone == p[i-1].Zone {
			continue
		}
		l := f.link(p[i].Zone, p[i-1].Zone)
		l.decay(now)
		l.sum += d.Prompt
	}
}

// OwnLinks returns what this instance sends between zones, in prompt tokens a
// second.
func (f *Fleet) OwnLinks(now time.Time) map[Link]float64 {
	out := map[Link]float64{}
	for k, l := range f.links {
		if r := l.rate(now); r >= 1 {
			out[k] = r
		}
	}
	return out
}

// crossHop returns the cost of a hop between two zones for each token, in
// milliseconds. It grows with the use of the link, as all transfers on it wait
// for each other.
func (f *Fleet) crossHop(now time.Time, a, b string) float64 {
	if f.model.LinkMbps <= 0 {
		return crossHopMS
	}
	l := f.link(a, b)
	bits := (l.rate(now) + l.foreign) * f.model.ActivationBytes * bitsPerByte
	use := min(linkFull, bits/(f.model.LinkMbps*bytesPerMB))
	return crossHopMS / ((1 - use) * (1 - use))
}

// linkMS is the time until the tokens of a request have passed a link behind those
// that wait for it.
func (f *Fleet) linkMS(now time.Time, a, b string, d Demand) float64 {
	if f.model.LinkMbps <= 0 {
		return 0
	}
	l := f.link(a, b)
	perToken := f.model.ActivationBytes * bitsPerByte / (f.model.LinkMbps * bytesPerMB) // seconds
	waiting := max(0, (l.rate(now)+l.foreign)*perToken-1) * linkMemory.Seconds()
	return (waiting + d.Prompt*perToken) * float64(time.Second/time.Millisecond)
}
