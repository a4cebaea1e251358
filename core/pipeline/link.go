package pipeline

import (
	"math"
	"time"
)

const (
	// linkTimeConstant is the time constant of the moving average of the prompt tokens sent
	// between two zones. The transfer of a prompt of a thousand tokens takes about 20 ms.
	linkTimeConstant = time.Second
	// maxLinkUtilization is the upper bound of the link utilization in the cost of a transfer.
	maxLinkUtilization = 0.9
	bitsPerByte        = 8
)

// Link identifies the link between two zones, which are in alphabetical order.
type Link struct{ A, B string }

// LinkBetween returns the link between two different zones.
func LinkBetween(a, b string) Link {
	if b < a {
		a, b = b, a
	}
	return Link{A: a, B: b}
}

// linkLoad is an exponentially decaying sum of the prompt tokens sent over a link.
type linkLoad struct {
	// sum decays with the time constant linkTimeConstant.
	sum        float64
	at         time.Time
	remoteRate float64 // of all other instances, in tokens per second
}

func (l *linkLoad) decay(now time.Time) {
	if dt := now.Sub(l.at); dt > 0 {
		l.sum *= math.Exp(-dt.Seconds() / linkTimeConstant.Seconds())
		l.at = now
	}
}

// rate returns the prompt tokens per second that this instance sends.
func (l *linkLoad) rate(now time.Time) float64 {
	l.decay(now)
	return l.sum / linkTimeConstant.Seconds()
}

// link returns the load of the link between two zones.
func (f *Fleet) link(a, b string) *linkLoad {
	k := LinkBetween(a, b)
	l := f.links[k]
	if l == nil {
		l = &linkLoad{}
		f.links[k] = l
	}
	return l
}

// recordTransfers records the transfer of a prompt between the zones of a path.
func (f *Fleet) recordTransfers(now time.Time, p Path, d Demand) {
	for i := 1; i < len(p); i++ {
		if p[i].Zone == p[i-1].Zone {
			continue
		}
		l := f.link(p[i].Zone, p[i-1].Zone)
		l.decay(now)
		l.sum += d.Prompt
	}
}

// OwnLinkRates returns the prompt tokens per second that this instance sends over each link.
func (f *Fleet) OwnLinkRates(now time.Time) map[Link]float64 {
	out := map[Link]float64{}
	for k, l := range f.links {
		if r := l.rate(now); r >= 1 {
			out[k] = r
		}
	}
	return out
}

// crossZoneCost returns the cost in milliseconds of passing one token between two zones. It grows
// with the utilization of the link, as all transfers on it queue behind each other.
func (f *Fleet) crossZoneCost(now time.Time, a, b string) float64 {
	if f.model.LinkMbps <= 0 {
		return crossZoneTransferMS
	}
	l := f.link(a, b)
	bits := (l.rate(now) + l.remoteRate) * f.model.ActivationBytes * bitsPerByte
	utilization := min(maxLinkUtilization, bits/(f.model.LinkMbps*bytesPerMB))
	return crossZoneTransferMS / ((1 - utilization) * (1 - utilization))
}

// linkTransferMS returns the time in milliseconds until the prompt of a request has been sent
// over a link, queued behind the transfers that wait for it and those of the given number of requests
// that are moved at the same moment.
func (f *Fleet) linkTransferMS(now time.Time, a, b string, d Demand, moving float64) float64 {
	if f.model.LinkMbps <= 0 {
		return 0
	}
	l := f.link(a, b)
	perToken := f.model.ActivationBytes * bitsPerByte / (f.model.LinkMbps * bytesPerMB) // seconds
	waiting := max(0, (l.rate(now)+l.remoteRate)*perToken-1) * linkTimeConstant.Seconds()
	return (waiting + max(1, moving)*d.Prompt*perToken) * float64(time.Second/time.Millisecond)
}
