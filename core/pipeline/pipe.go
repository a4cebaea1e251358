package pipeline

import (
	"math"
	"time"
)

const (
	// pipeMemory is the time over which the prompts sent between two zones are
	// averaged. A prompt of a thousand tokens takes some 20 ms on a pipe.
	pipeMemory = time.Second
	// pipeFull bounds the estimated use of a pipe in the cost of a hop.
	pipeFull    = 0.9
	bitsPerByte = 8
)

// Pipe is the link between two zones, in alphabetical order.
type Pipe struct{ A, B string }

// PipeBetween returns the pipe between two different zones.
func PipeBetween(a, b string) Pipe {
	if b < a {
		a, b = b, a
	}
	return Pipe{A: a, B: b}
}

// pipeLoad is a moving mean of the prompt tokens sent over a pipe.
type pipeLoad struct {
	// sum decays with pipeMemory.
	sum     float64
	at      time.Time
	foreign float64 // tokens a second
}

func (l *pipeLoad) decay(now time.Time) {
	if dt := now.Sub(l.at); dt > 0 {
		l.sum *= math.Exp(-dt.Seconds() / pipeMemory.Seconds())
		l.at = now
	}
}

// rate returns the tokens a second of this instance.
func (l *pipeLoad) rate(now time.Time) float64 {
	l.decay(now)
	return l.sum / pipeMemory.Seconds()
}

// pipe returns the load between two zones.
func (f *Fleet) pipe(a, b string) *pipeLoad {
	k := PipeBetween(a, b)
	l := f.pipes[k]
	if l == nil {
		l = &pipeLoad{}
		f.pipes[k] = l
	}
	return l
}

// sendPrompt notes the prompt that passes between the zones of a path.
func (f *Fleet) sendPrompt(now time.Time, p Path, d Demand) {
	for i := 1; i < len(p); i++ {
		if p[i].Zone == p[i-1].Zone {
			continue
		}
		l := f.pipe(p[i].Zone, p[i-1].Zone)
		l.decay(now)
		l.sum += d.Prompt
	}
}

// OwnPipes returns what this instance sends between zones, in prompt tokens a
// second.
func (f *Fleet) OwnPipes(now time.Time) map[Pipe]float64 {
	out := map[Pipe]float64{}
	for k, l := range f.pipes {
		if r := l.rate(now); r >= 1 {
			out[k] = r
		}
	}
	return out
}

// crossHop returns the cost of a hop between two zones for each token, in
// milliseconds. It grows with the use of the pipe, as all transfers on it wait
// for each other.
func (f *Fleet) crossHop(now time.Time, a, b string) float64 {
	if f.model.PipeMbps <= 0 {
		return crossHopMS
	}
	l := f.pipe(a, b)
	bits := (l.rate(now) + l.foreign) * f.model.ActivationBytes * bitsPerByte
	use := min(pipeFull, bits/(f.model.PipeMbps*bytesPerMB))
	return crossHopMS / ((1 - use) * (1 - use))
}

// pipeMS is the time until the tokens of a request have passed a pipe behind those
// that wait for it.
func (f *Fleet) pipeMS(now time.Time, a, b string, d Demand) float64 {
	if f.model.PipeMbps <= 0 {
		return 0
	}
	l := f.pipe(a, b)
	perToken := f.model.ActivationBytes * bitsPerByte / (f.model.PipeMbps * bytesPerMB) // seconds
	waiting := max(0, (l.rate(now)+l.foreign)*perToken-1) * pipeMemory.Seconds()
	return (waiting + d.Prompt*perToken) * float64(time.Second/time.Millisecond)
}
