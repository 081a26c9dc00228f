package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const (
	// keyBytes is the length in bytes of the random part of a client account's key.
	keyBytes = 24
	// keyPrefix makes leaked keys easy to find.
	keyPrefix = "lgl_"
)

// setters maps flag names to functions that set the corresponding field of an entity.
type setters map[string]func(value string) error

// flags returns a flag set with one string flag for each setter.
func (s setters) flags(t *tool, name string, stderr io.Writer, usage map[string]string) *flag.FlagSet {
	flags := t.flagSet(name, stderr)
	for key := range s {
		flags.String(key, "", usage[key])
	}
	return flags
}

func (s setters) apply(flags *flag.FlagSet) error {
	var failed error
	flags.Visit(func(f *flag.Flag) {
		if failed != nil || s[f.Name] == nil {
			return
		}
		if err := s[f.Name](f.Value.String()); err != nil {
			failed = &UsageError{Text: fmt.Sprintf("--%s: %q is not allowed", f.Name, f.Value.String())}
		}
	})
	return failed
}

// putCommand returns a command that reads an entity, applies the flags that were set, and writes
// it back.
func putCommand(t *tool, usage, kind string, stderr io.Writer, entity proto.Message, set setters, help map[string]string) *ffcli.Command {
	flags := set.flags(t, "put", stderr, help)
	return &ffcli.Command{
		Name:       "put",
		ShortUsage: usage,
		ShortHelp:  "create or change one of the " + kind,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			name, err := oneArg(args, usage)
			if err != nil {
				return err
			}
			revision, err := t.client.lookup(ctx, kind+"/"+name, entity)
			if err != nil {
				return err
			}
			if err := setName(entity, name); err != nil {
				return err
			}
			if err := set.apply(flags); err != nil {
				return err
			}
			entry, err := t.client.put(ctx, kind+"/"+name, revision, entity)
			if err != nil {
				return err
			}
			return t.printEntry(entry)
		},
	}
}

// setName sets the name of an entity. It returns *UsageError if a version is given without its
// pool.
func setName(entity proto.Message, name string) error {
	switch e := entity.(type) {
	case *configpb.Tier:
		e.Name = name
	case *configpb.ClientAccount:
		e.Name = name
	case *configpb.Route:
		e.Name = name
	case *configpb.BackendVersion:
		var found bool
		if e.Pool, e.Name, found = strings.Cut(name, "/"); !found {
			return &UsageError{Text: "a version is named POOL/NAME"}
		}
	}
	return nil
}

func deleteCommand(t *tool, kind string, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:      "delete",
		ShortHelp: "delete one of the " + kind,
		FlagSet:   t.flagSet("delete", stderr),
		Exec: func(ctx context.Context, args []string) error {
			name, err := oneArg(args, "name")
			if err != nil {
				return err
			}
			entry, err := t.client.remove(ctx, kind+"/"+name)
			if err != nil {
				return err
			}
			return t.printEntry(entry)
		},
	}
}

func (t *tool) tierCommand(stderr io.Writer) *ffcli.Command {
	tier := newTier()
	set := setters{
		"rank":            func(v string) error { return parseUint32(v, &tier.Rank) },
		"default-timeout": func(v string) error { return parseMillis(v, &tier.DefaultTimeoutMs) },
		"description":     func(v string) error { return parseString(v, &tier.Description) },
	}
	help := map[string]string{"rank": "0 is the highest tier", "default-timeout": "deadline of a request that names none, such as 30s"}
	return t.group("tier", "classes of requests", stderr,
		putCommand(t, "lagoonctl tier put [--rank N] NAME", "tiers", stderr, tier, set, help),
		listCommand(t, "tiers", stderr, tierHeader, newTier, tierRow),
		deleteCommand(t, "tiers", stderr))
}

func (t *tool) accountCommand(stderr io.Writer) *ffcli.Command {
	account := &configpb.ClientAccount{}
	limits := func() *configpb.AccountLimits {
		if account.Limits == nil {
			account.Limits = &configpb.AccountLimits{}
		}
		return account.Limits
	}
	set := setters{
		"tiers":               func(v string) error { return parseList(v, &account.Tiers) },
		"weight":              func(v string) error { return parseUint32(v, &account.Weight) },
		"max-concurrent":      func(v string) error { return parseUint32(v, &limits().MaxConcurrent) },
		"requests-per-second": func(v string) error { return parseFloat(v, &limits().RequestsPerSecond) },
		"tokens-per-second":   func(v string) error { return parseFloat(v, &limits().TokensPerSecond) },
		"disabled":            func(v string) error { return parseBool(v, &account.Disabled) },
	}
	help := map[string]string{"tiers": "names of tiers; the first is the default", "disabled": "true or false"}
	return t.group("account", "client accounts", stderr,
		putCommand(t, "lagoonctl account put [--tiers A,B] NAME", "accounts", stderr, account, set, help),
		listCommand(t, "accounts", stderr, accountHeader, newAccount, accountRow),
		deleteCommand(t, "accounts", stderr),
		t.newKeyCommand(stderr))
}

// newKeyCommand returns a command that creates a key, stores its hash and prints the key once.
func (t *tool) newKeyCommand(stderr io.Writer) *ffcli.Command {
	flags := t.flagSet("new-key", stderr)
	id := flags.String("id", "", "id of the key; default: from the time")
	return &ffcli.Command{
		Name:       "new-key",
		ShortUsage: "lagoonctl account new-key [--id ID] NAME",
		ShortHelp:  "make a key; it is shown once and only its hash is stored",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			name, err := oneArg(args, "name of a client account")
			if err != nil {
				return err
			}
			if *id == "" {
				*id = time.Now().UTC().Format("k-20060102-150405")
			}
			return t.addKey(ctx, name, *id)
		},
	}
}

func (t *tool) addKey(ctx context.Context, name, id string) error {
	account := newAccount()
	revision, err := t.client.lookup(ctx, "accounts/"+name, account)
	if err != nil {
		return err
	}
	if revision == 0 {
		return &UsageError{Text: "there is no client account " + name}
	}
	random := make([]byte, keyBytes)
	rand.Read(random) // Read never returns an error; it crashes the program instead.
	key := keyPrefix + hex.EncodeToString(random)
	hash := sha256.Sum256([]byte(key))
	account.Keys = append(account.Keys, &configpb.ApiKey{Id: id, Sha256: hash[:]})
	if _, err := t.client.put(ctx, "accounts/"+name, revision, account); err != nil {
		return err
	}
	if t.output == "json" {
		return t.json(map[string]string{"account": name, "id": id, "key": key})
	}
	_, err = fmt.Fprintf(t.stdout, "key %s of %s, shown only now:\n%s\n", id, name, key)
	return errors.Wrap(err, "the key is stored but could not be shown; remove it and add another")
}

func (t *tool) routeCommand(stderr io.Writer) *ffcli.Command {
	route := newRoute()
	set := setters{
		"kind":                   func(v string) error { return parseKind(v, &route.Kind) },
		"pool":                   func(v string) error { return parseString(v, &route.Pool) },
		"shares":                 func(v string) error { return parseShares(v, &route.Shares) },
		"accounts":               func(v string) error { return parseList(v, &route.Accounts) },
		"max-timeout":            func(v string) error { return parseMillis(v, &route.MaxTimeoutMs) },
		"max-body-bytes":         func(v string) error { return parseUint64(v, &route.MaxBodyBytes) },
		"expected-output-tokens": func(v string) error { return parseUint32(v, &route.ExpectedOutputTokens) },
	}
	help := map[string]string{"kind": "engine or service", "shares": "basis points by version: v1=9500,v2=500"}
	return t.group("route", "names that callers use", stderr,
		putCommand(t, "lagoonctl route put [--pool P] [--shares V=BP,…] NAME", "routes", stderr, route, set, help),
		listCommand(t, "routes", stderr, routeHeader, newRoute, routeRow),
		deleteCommand(t, "routes", stderr))
}

func (t *tool) versionCommand(stderr io.Writer) *ffcli.Command {
	version := newVersion()
	set := setters{
		"artifact":   func(v string) error { return parseString(v, &version.Artifact) },
		"size-bytes": func(v string) error { return parseUint64(v, &version.SizeBytes) },
		"state":      func(v string) error { return parseState(v, &version.State) },
		"reason":     func(v string) error { return parseString(v, &version.Reason) },
	}
	help := map[string]string{"state": "unproven, proven, contained or retired"}
	return t.group("version", "versions that backend servers run", stderr,
		putCommand(t, "lagoonctl version put [--artifact A] POOL/NAME", "versions", stderr, version, set, help),
		listCommand(t, "versions", stderr, versionHeader, newVersion, versionRow))
}

func parseString(v string, into *string) error {
	*into = v
	return nil
}

func parseList(v string, into *[]string) error {
	*into = nil
	if v != "" {
		*into = strings.Split(v, ",")
	}
	return nil
}

func parseUint32(v string, into *uint32) error {
	n, err := strconv.ParseUint(v, 10, 32)
	*into = uint32(n)
	return err
}

func parseUint64(v string, into *uint64) (err error) {
	*into, err = strconv.ParseUint(v, 10, 64)
	return err
}

func parseFloat(v string, into *float64) (err error) {
	*into, err = strconv.ParseFloat(v, 64)
	return err
}

func parseBool(v string, into *bool) (err error) {
	*into, err = strconv.ParseBool(v)
	return err
}

// parseMillis parses a duration that a configuration stores in 32 bits of milliseconds: up to 49.7
// days.
func parseMillis(v string, into *uint32) error {
	d, err := time.ParseDuration(v)
	if err != nil {
		return err
	}
	if d < 0 || d.Milliseconds() > math.MaxUint32 {
		return &DurationRangeError{Value: d}
	}
	*into = uint32(d.Milliseconds())
	return nil
}

// DurationRangeError reports a duration that is negative or longer than a configuration can store.
type DurationRangeError struct{ Value time.Duration }

func (e *DurationRangeError) Error() string {
	return fmt.Sprintf("%v is not between 0 and %v", e.Value, math.MaxUint32*time.Millisecond)
}

func parseKind(v string, into *configpb.BackendKind) error {
	n, ok := configpb.BackendKind_value["BACKEND_KIND_"+strings.ToUpper(v)]
	if !ok {
		return &ValueError{Field: "kind", Value: v}
	}
	*into = configpb.BackendKind(n)
	return nil
}

func parseState(v string, into *configpb.VersionState) error {
	n, ok := configpb.VersionState_value["VERSION_STATE_"+strings.ToUpper(v)]
	if !ok {
		return &ValueError{Field: "state", Value: v}
	}
	*into = configpb.VersionState(n)
	return nil
}

func parseShares(v string, into *[]*configpb.VersionShare) error {
	*into = nil
	for _, part := range strings.Split(v, ",") {
		// Without "=", bp is empty and parsing fails.
		version, bp, _ := strings.Cut(part, "=")
		share := &configpb.VersionShare{Version: version}
		if err := parseUint32(bp, &share.ShareBp); err != nil {
			return err
		}
		*into = append(*into, share)
	}
	return nil
}
