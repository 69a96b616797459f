package config

// DefaultsName is the name of the only item of kind defaults.
const DefaultsName = "defaults"

// Defaults of optional fields.
const (
	DefaultBlockBytes            = 4000
	DefaultMinReady              = 1
	DefaultPrefillMicrosPerBlock = 25000
	DefaultMaxOutputTokens       = 512
	DefaultTokensPerCall         = 1
	DefaultDeadlineMs            = 30000
	DefaultMaxRunning            = 16
	DefaultLimitSlots            = 16
	DefaultRetentionSeconds      = 3600
)

// traits tells how the items of one kind are named, checked and completed.
type traits[T any] struct {
	kind  Kind
	name  func(*T) string
	check func(*T, *checker)
	fill  func(T) T
}

var (
	workspaceTraits = traits[Workspace]{
		kind:  KindWorkspace,
		name:  func(w *Workspace) string { return w.Name },
		check: checkWorkspace,
		fill:  func(w Workspace) Workspace { return w },
	}
	keyTraits = traits[Key]{
		kind:  KindKey,
		name:  func(k *Key) string { return k.Digest },
		check: checkKey,
		fill:  func(k Key) Key { return k },
	}
	modelTraits = traits[Model]{
		kind:  KindModel,
		name:  func(m *Model) string { return m.Name },
		check: checkModel,
		fill:  fillModel,
	}
	routeTraits = traits[Route]{
		kind:  KindRoute,
		name:  func(r *Route) string { return r.Name },
		check: checkRoute,
		fill:  fillRoute,
	}
	endpointTraits = traits[Endpoint]{
		kind:  KindEndpoint,
		name:  func(e *Endpoint) string { return e.Name },
		check: checkEndpoint,
		fill:  fillEndpoint,
	}
	defaultsTraits = traits[Defaults]{
		kind:  KindDefaults,
		name:  func(*Defaults) string { return DefaultsName },
		check: checkDefaults,
		fill:  fillDefaults,
	}
)

// or returns value, or fallback where value is zero.
func or[N int | int64](value, fallback N) N {
	if value == 0 {
		return fallback
	}
	return value
}

func fillModel(m Model) Model {
	m.BlockBytes = or(m.BlockBytes, DefaultBlockBytes)
	m.MinReady = or(m.MinReady, DefaultMinReady)
	m.PrefillMicrosPerBlock = or(m.PrefillMicrosPerBlock, DefaultPrefillMicrosPerBlock)
	m.MaxOutputTokens = or(m.MaxOutputTokens, DefaultMaxOutputTokens)
	return m
}

func fillRoute(r Route) Route {
	if len(r.IdempotentMethods) == 0 {
		r.IdempotentMethods = []string{"GET", "HEAD", "OPTIONS"}
	}
	r.TokensPerCall = or(r.TokensPerCall, DefaultTokensPerCall)
	r.DeadlineMs = or(r.DeadlineMs, DefaultDeadlineMs)
	return r
}

func fillEndpoint(e Endpoint) Endpoint {
	e.MaxRunning = or(e.MaxRunning, DefaultMaxRunning)
	return e
}

func fillDefaults(d Defaults) Defaults {
	d.LimitSlots = or(d.LimitSlots, DefaultLimitSlots)
	d.RetentionSeconds = or(d.RetentionSeconds, DefaultRetentionSeconds)
	return d
}
