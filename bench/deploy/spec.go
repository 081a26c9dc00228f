package deploy

import "time"

// Spec describes a deployment.
type Spec struct {
	// Name is the prefix of the names of data centres, such as "budapest".
	Name string
	// BinDir is the directory of the binaries lagoonlane, lagoonctl and standin.
	BinDir string
	// Dir is the directory for settings and logs. It must exist.
	Dir string
	// DataCentres is the number of data centres, to which processes are assigned round-robin. The
	// default is 1.
	DataCentres int
	Entries     int
	Engines     []EngineSpec
	// EnginePool is the name of the engines' pool. The default is "model".
	EnginePool string
	// ModelRoute is the name of the engines' route. The default is "assistant".
	ModelRoute string
	// Tiers lists the tiers from the highest to the lowest. The default is one tier named
	// "standard".
	Tiers []string
	// Accounts lists the client accounts. The default is one account named "account-1".
	Accounts []string
	// EngineVersions lists the versions that engines load at startup. The default is v1.
	EngineVersions []string
	// MaxConcurrency is the maximum number of requests that a sidecar dispatches to an engine at
	// once. The default is EngineBatch.
	MaxConcurrency int
	// CheckFencing makes the engines reject outdated fencing numbers.
	CheckFencing bool
	Services     int
	// ServiceName is the name of the plain service and of its pool. The default is "ledger".
	ServiceName string
	// ServiceLatency is the duration of an operation. The default is 2 ms.
	ServiceLatency time.Duration
	// Artifacts holds the sizes in bytes of the artifacts in the weight store, by name.
	Artifacts map[string]uint64
	// WeightBytesPerSecond is the transfer rate of the weight store. The default is 1 GiB/s.
	WeightBytesPerSecond uint64
	// InstanceLag is the delay of changes in the instance list. The default is 500 ms.
	InstanceLag time.Duration
	// LogLevel is the log level of entries and sidecars. The default is info.
	LogLevel string
	// LogRetention is the number of records that the log retains for each stream. The default is
	// 100,000.
	LogRetention int
}

// EngineSpec describes one engine.
type EngineSpec struct {
	// Generation names the hardware, such as "g2".
	Generation string
	// Speed is the speed factor of the hardware.
	Speed float64
}

// EngineBatch is the number of sequences that a stand-in engine runs at once.
const EngineBatch = 32

// Defaults of Spec.
const (
	defaultWeightRate   = 1 << 30
	defaultInstanceLag  = 500 * time.Millisecond
	defaultLatency      = 2 * time.Millisecond
	defaultLogRetention = 100_000
	defaultEnginePool   = "model"
	defaultServiceName  = "ledger"
	defaultVersion      = "v1"
	defaultModelRoute   = "assistant"
	defaultTier         = "standard"
	defaultConcurrency  = EngineBatch
	defaultAccount      = "account-1"
)

func (s *Spec) setDefaults() {
	setDefault(&s.DataCentres, 1)
	setDefault(&s.EnginePool, defaultEnginePool)
	setDefault(&s.ServiceName, defaultServiceName)
	setDefault(&s.ServiceLatency, defaultLatency)
	setDefault(&s.WeightBytesPerSecond, defaultWeightRate)
	setDefault(&s.InstanceLag, defaultInstanceLag)
	setDefault(&s.LogLevel, "info")
	setDefault(&s.LogRetention, defaultLogRetention)
	setDefault(&s.MaxConcurrency, defaultConcurrency)
	setDefault(&s.ModelRoute, defaultModelRoute)
	if len(s.Tiers) == 0 {
		s.Tiers = []string{defaultTier}
	}
	if len(s.Accounts) == 0 {
		s.Accounts = []string{defaultAccount}
	}
	if len(s.EngineVersions) == 0 {
		s.EngineVersions = []string{defaultVersion}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// smallArtifactBytes is the size of the weights in a small deployment.
const smallArtifactBytes = 200 << 20

// Budapest returns a small version of the Peg Ledger Routing Network's deployment. Its engines
// check fencing numbers.
func Budapest(binDir, dir string) Spec {
	return Spec{
		Name: "budapest", BinDir: binDir, Dir: dir, DataCentres: 3, Entries: 2,
		Engines:      []EngineSpec{{"g1", 0.75}, {"g2", 1}, {"g3", 1.25}},
		CheckFencing: true, Services: 2, ServiceName: "ledger", ModelRoute: "assistant",
		Tiers:     []string{"field", "depot", "office", "report", "batch"},
		Accounts:  []string{"balaton-hire", "alfold-tents", "duna-events", "matra-camps", "tisza-fairs"},
		Artifacts: map[string]uint64{"assistant-v1": smallArtifactBytes, "assistant-v2": smallArtifactBytes},
	}
}

// Ulaanbaatar returns a small version of the Ribline assistant's deployment. Its engines do not
// check fencing numbers.
func Ulaanbaatar(binDir, dir string) Spec {
	return Spec{
		Name: "ulaanbaatar", BinDir: binDir, Dir: dir, DataCentres: 4, Entries: 2,
		Engines:  []EngineSpec{{"g1", 0.75}, {"g2", 1}, {"g3", 1.25}},
		Services: 2, ServiceName: "orders", ModelRoute: "ribline",
		Tiers:     []string{"press", "floor", "desk", "notes", "batch"},
		Accounts:  []string{"press-hall-1", "press-hall-2", "glue-room", "order-desk", "stock-room"},
		Artifacts: map[string]uint64{"ribline-v1": smallArtifactBytes, "ribline-v2": smallArtifactBytes},
	}
}

// BudapestFullSize returns the Budapest deployment at its present full size.
func BudapestFullSize(binDir, dir string) Spec {
	spec := Budapest(binDir, dir)
	spec.Entries, spec.Services = 3, 3
	spec.Engines = enginesByGeneration(3, 4, 3)
	return spec
}

// UlaanbaatarFullSize returns the Ulaanbaatar deployment at its present full size.
func UlaanbaatarFullSize(binDir, dir string) Spec {
	spec := Ulaanbaatar(binDir, dir)
	spec.Entries, spec.Services = 3, 4
	spec.Engines = enginesByGeneration(4, 4, 4)
	return spec
}

// enginesByGeneration returns the given number of engines of each of up to three hardware
// generations.
func enginesByGeneration(counts ...int) []EngineSpec {
	generations := []EngineSpec{{"g1", 1}, {"g2", 1.5}, {"g3", 2}}
	var all []EngineSpec
	for i, count := range counts {
		for range count {
			all = append(all, generations[i])
		}
	}
	return all
}
