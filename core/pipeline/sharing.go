package pipeline

// Sharing tells a Fleet that other instances choose paths over the same replicas.
type Sharing struct {
	// Random returns numbers from 0 to 1; nil without other instances.
	Random func() float64
	// Instances is the number of instances, this one included.
	Instances int
	// Uninformed is true while there are others of which nothing is known, as after a start of
	// all together.
	Uninformed bool
}

const (
	// passOverForPeer is the share of a part's room for each other instance, below its
	// limit, over which the part is passed over more and more often. The more instances
	// there are, the later they learn of each other's requests.
	passOverForPeer = 0.01
	// passOverMost bounds that share, so that a part that is nearly empty is always used.
	passOverMost = 0.9
)

// uninformedSpread is the largest share that is added to the cost of a replica at random while
// nothing is known of the other instances.
const uninformedSpread = 4

// costFactor returns a random factor for the cost of a replica in one choice. The load that it
// answers: all instances start together, the callers of broken streams come back to all of
// them at once, and each takes the fleet to be empty.
func (f *Fleet) costFactor() float64 {
	if !f.sharing.Uninformed || f.sharing.Random == nil {
		return 1
	}
	return 1 + uninformedSpread*f.sharing.Random()
}

// SetSharing tells how many instances choose paths over the same replicas.
func (f *Fleet) SetSharing(s Sharing) { f.sharing = s }

// passedOver tells whether a choice is to pass over a part that has room and is used to a
// share of it. The load that it answers: the fastest parts are the cheapest until they
// are full, and what other instances have placed there is known some tenths of a second
// late. All of them would fill such a part far beyond its room, where requests wait for
// memory. With random early detection they fill it ever more slowly.
func (f *Fleet) passedOver(use float64) bool {
	peers := f.sharing.Instances - 1
	if f.sharing.Random == nil || peers < 1 {
		return false
	}
	width := min(passOverMost, passOverForPeer*float64(peers))
	return f.sharing.Random() > (fullAt-use)/width
}
