package config

// DefaultsName is the name of the only item of kind defaults.
const DefaultsName = "defaults"

// Default values of optional fields.
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

// traits holds the functions that name, check and complete the items of one kind.
type traits[T any] struct {
	kind         Kind
	name         func(*T) string
	check        func(*T, *checker)
	withDefaults func(T) T
}

var (
	workspaceTraits = traits[Workspace]{
		kind:         KindWorkspace,
		name:         func(w *Workspace) string { return w.Name },
		check:        checkWorkspace,
		withDefaults: func(w Workspace) Workspace { return w },
	}
	keyTraits = traits[Key]{
		kind:         KindKey,
		name:         func(k *Key) string { return k.Digest },
		check:        checkKey,
		withDefaults: func(k Key) Key { return k },
	}
	modelTraits = traits[Model]{
		kind:         KindModel,
		name:         func(m *Model) string { return m.Name },
		check:        checkModel,
		withDefaults: modelWithDefaults,
	}
	routeTraits = traits[Route]{
		kind:         KindRoute,
		name:         func(r *Route) string { return r.Name },
		check:        checkRoute,
		withDefaults: routeWithDefaults,
	}
	endpointTraits = traits[Endpoint]{
		kind:         KindEndpoint,
		name:         func(e *Endpoint) string { return e.Name },
		check:        checkEndpoint,
		withDefaults: endpointWithDefaults,
	}
	defaultsTraits = traits[Defaults]{
		kind:         KindDefaults,
		name:         func(*Defaults) string { return DefaultsName },
		check:        checkDefaults,
		withDefaults: completeDefaults,
	}
)

// orDefault returns value, or defaultValue if value is zero.
func orDefault[N int | int64](value, defaultValue N) N {
	if value == 0 {
		return defaultValue
	}
	return value
}

func modelWithDefaults(m Model) Model {
	m.BlockBytes = orDefault(m.BlockBytes, DefaultBlockBytes)
	m.MinReady = orDefault(m.MinReady, DefaultMinReady)
	m.PrefillMicrosPerBlock = orDefault(m.PrefillMicrosPerBlock, DefaultPrefillMicrosPerBlock)
	m.MaxOutputTokens = orDefault(m.MaxOutputTokens, DefaultMaxOutputTokens)
	return m
}

func routeWithDefaults(r Route) Route {
	if len(r.IdempotentMethods) == 0 {
		r.IdempotentMethods = []string{"GET", "HEAD", "OPTIONS"}
	}
	r.TokensPerCall = orDefault(r.TokensPerCall, DefaultTokensPerCall)
	r.DeadlineMs = orDefault(r.DeadlineMs, DefaultDeadlineMs)
	return r
}

func endpointWithDefaults(e Endpoint) Endpoint {
	e.MaxRunning = orDefault(e.MaxRunning, DefaultMaxRunning)
	return e
}

func completeDefaults(d Defaults) Defaults {
	d.LimitSlots = orDefault(d.LimitSlots, DefaultLimitSlots)
	d.RetentionSeconds = orDefault(d.RetentionSeconds, DefaultRetentionSeconds)
	return d
}
