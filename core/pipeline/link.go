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
	// maxLinkRoom is the utilization of a link between zones up to which new requests are sent over
	// it, and linkRoomSpread the range below it in which fewer and fewer are, as instances learn
	// late of each other's. Transfers queue one behind another, and a stream that waits for them
	// keeps its KV cache on all of its path, so that a full link fills the replicas as well.
	maxLinkRoom    = 0.6
	linkRoomSpread = 0.3
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

// linkLoad is an exponentially decaying sum of the tokens sent over a link, each request's when it
// starts.
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

// rate returns the tokens per second that this instance sends.
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

// recordTransfers records the transfers of a request between the zones of its path.
func (f *Fleet) recordTransfers(now time.Time, p Path, d Demand) {
	for i := 1; i < len(p); i++ {
		if p[i].Zone == p[i-1].Zone {
			continue
		}
		l := f.link(p[i].Zone, p[i-1].Zone)
		l.decay(now)
		l.sum += d.Prompt + d.Output
	}
}

// OwnLinkRates returns the tokens per second that this instance sends over each link.
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
// with the use of the bandwidth between zones, as all transfers queue behind each other.
func (f *Fleet) crossZoneCost(now time.Time) float64 {
	if f.model.LinkMbps <= 0 {
		return crossZoneTransferMS
	}
	utilization := min(maxLinkUtilization, f.linkUtilization(now))
	return crossZoneTransferMS / ((1 - utilization) * (1 - utilization))
}

// linkUtilization returns the share of the bandwidth between zones that is in use. All pairs of zones
// share it.
func (f *Fleet) linkUtilization(now time.Time) float64 {
	bits := f.linkTokensPerSecond(now) * f.model.ActivationBytes * bitsPerByte
	return bits / (f.model.LinkMbps * bytesPerMB)
}

// LinkUtilization returns the share of the bandwidth between zones that is in use, or 0 if no bandwidth is
// published.
func (f *Fleet) LinkUtilization(now time.Time) float64 {
	if f.model.LinkMbps <= 0 {
		return 0
	}
	return f.linkUtilization(now)
}

// linkTokensPerSecond returns the tokens per second of all instances between zones.
func (f *Fleet) linkTokensPerSecond(now time.Time) float64 {
	sum := 0.0
	for _, l := range f.links {
		sum += l.rate(now) + l.remoteRate
	}
	return sum
}

// linkHasRoom reports whether a new request may be sent from one zone to another.
func (f *Fleet) linkHasRoom(now time.Time) bool {
	if f.model.LinkMbps <= 0 {
		return true
	}
	limit := maxLinkRoom
	if f.sharing.Random != nil && f.sharing.Instances != 1 {
		limit -= linkRoomSpread * f.sharing.Random()
	}
	return f.linkUtilization(now) < limit
}

// linkTransferMS returns the time in milliseconds until the prompt of a request has been sent
// over a link, queued behind the transfers that wait for it and those of the given number of requests
// that are moved at the same moment.
func (f *Fleet) linkTransferMS(now time.Time, d Demand, moving float64) float64 {
	if f.model.LinkMbps <= 0 {
		return 0
	}
	perToken := f.model.ActivationBytes * bitsPerByte / (f.model.LinkMbps * bytesPerMB) // seconds
	waiting := max(0, f.linkTokensPerSecond(now)*perToken-1) * linkTimeConstant.Seconds()
	return (waiting + max(1, moving)*d.Prompt*perToken) * float64(time.Second/time.Millisecond)
}
