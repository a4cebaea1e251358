package fleet

import (
	"net/http"
	"time"

	"masticbank.example/standin/weights"
)

// Spec describes a fleet of stand-ins.
type Spec struct {
	Models   []ModelSpec
	Services []ServiceSpec
	// Host is the address of all listeners; empty means 127.0.0.1.
	Host string
	// BasePort is the first port; 0 means that the system chooses free ports.
	BasePort int
	// InstanceLag is the delay after which changes show in the instance list,
	// ReportLag that of load reports and CacheEventDelay that of cache events.
	InstanceLag     time.Duration
	ReportLag       time.Duration
	CacheEventDelay time.Duration
	// CacheEventLossOneIn is n if every nth cache event is lost; 0 loses none.
	CacheEventLossOneIn int
	// Fencing makes engines refuse layer assignments with an outdated fencing
	// token.
	Fencing bool
	Weights weights.Options
	// Log is the handler of the log service; nil means none.
	Log http.Handler
}

// ModelSpec describes the replicas of one model.
type ModelSpec struct {
	Name    string
	Version string
	Layers  int
	Ranges  []RangeSpec
}

// RangeSpec describes the replicas of one layer range. First and Last are inclusive.
type RangeSpec struct {
	First       int
	Last        int
	Accelerator Accelerator
	// Zones holds the availability zone of each replica, and thereby their number.
	Zones []string
}

// Accelerator describes a kind of accelerator.
type Accelerator struct {
	Name string
	// Slots is the number of sequences that one replica runs in a batch.
	Slots int
	// StepPerLayer is the time of one decode step per layer.
	StepPerLayer time.Duration
	// PrefillTokensPerSecond is the prefill speed for a single layer. A replica of
	// n layers has 1/n of it.
	PrefillTokensPerSecond float64
	CacheBlocks            int
}

// ServiceSpec describes the replicas of one plain service, one per entry of Zones.
type ServiceSpec struct {
	Name    string
	Latency time.Duration
	Zones   []string
}

// Dev returns the fleet of the development mode: model "dev" with 12 layers in three
// ranges, and service "orders".
func Dev() Spec {
	zones := []string{"a", "b"}
	return Spec{
		Models: []ModelSpec{{
			Name: "dev", Version: "1", Layers: 12,
			Ranges: []RangeSpec{
				{First: 0, Last: 3, Accelerator: acceleratorL, Zones: zones},
				{First: 4, Last: 8, Accelerator: acceleratorM, Zones: zones},
				{First: 9, Last: 11, Accelerator: acceleratorS, Zones: zones},
			},
		}},
		Services:  []ServiceSpec{{Name: "orders", Latency: 2 * time.Millisecond, Zones: zones[:1]}},
		ReportLag: 100 * time.Millisecond, InstanceLag: 200 * time.Millisecond,
		CacheEventDelay: 200 * time.Millisecond, CacheEventLossOneIn: 20,
	}
}

// Kinds of accelerators in the fleets, from fast to slow.
var (
	acceleratorL = Accelerator{
		Name: "l", Slots: 8, StepPerLayer: 1200 * time.Microsecond,
		PrefillTokensPerSecond: 160_000, CacheBlocks: 1024,
	}
	acceleratorM = Accelerator{
		Name: "m", Slots: 6, StepPerLayer: 1800 * time.Microsecond,
		PrefillTokensPerSecond: 90_000, CacheBlocks: 512,
	}
	acceleratorS = Accelerator{
		Name: "s", Slots: 4, StepPerLayer: 3 * time.Millisecond,
		PrefillTokensPerSecond: 50_000, CacheBlocks: 256,
	}
)

// Asistente returns the Asociación's fleet: model "asistente" on 40 replicas
// and service "socios" on three, in zones quito, ambato and cuenca.
func Asistente() Spec {
	return regionSpec("asistente", "socios", []string{"quito", "ambato", "cuenca"})
}

// Apuntador returns Tramoya's fleet: model "apuntador" on 40 replicas and
// service "taquilla" on three, in zones norte-a, norte-b and norte-c.
func Apuntador() Spec {
	return regionSpec("apuntador", "taquilla", []string{"norte-a", "norte-b", "norte-c"})
}

// regionSpec returns a fleet with 40 replicas of a model of 32 layers, whose layer ranges
// overlap, and one replica of a service per zone.
func regionSpec(model, service string, zones []string) Spec {
	spread := func(n, from int) []string {
		out := make([]string, n)
		for i := range out {
			out[i] = zones[(from+i)%len(zones)]
		}
		return out
	}
	return Spec{
		Models: []ModelSpec{{
			Name: model, Version: "1", Layers: 32,
			Ranges: []RangeSpec{
				{First: 0, Last: 15, Accelerator: acceleratorL, Zones: spread(6, 0)},
				{First: 16, Last: 31, Accelerator: acceleratorL, Zones: spread(6, 1)},
				{First: 0, Last: 7, Accelerator: acceleratorM, Zones: spread(4, 2)},
				{First: 8, Last: 15, Accelerator: acceleratorM, Zones: spread(4, 0)},
				{First: 16, Last: 23, Accelerator: acceleratorM, Zones: spread(4, 1)},
				{First: 24, Last: 31, Accelerator: acceleratorM, Zones: spread(4, 2)},
				{First: 0, Last: 11, Accelerator: acceleratorS, Zones: spread(4, 0)},
				{First: 12, Last: 23, Accelerator: acceleratorS, Zones: spread(4, 1)},
				{First: 8, Last: 23, Accelerator: acceleratorS, Zones: spread(4, 2)},
			},
		}},
		Services:  []ServiceSpec{{Name: service, Latency: 5 * time.Millisecond, Zones: zones}},
		ReportLag: 250 * time.Millisecond, InstanceLag: time.Second,
		CacheEventDelay: 500 * time.Millisecond, CacheEventLossOneIn: 20,
	}
}
