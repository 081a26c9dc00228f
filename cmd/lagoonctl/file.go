package main

import (
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// entities holds the entities of a configuration file.
type entities struct {
	tiers    []*configpb.Tier
	versions []*configpb.BackendVersion
	accounts []*configpb.ClientAccount
	routes   []*configpb.Route
}

// fileBody is the file format: each entity has the fields of its message, with enum values in
// short form and hashes in hexadecimal.
type fileBody struct {
	Tiers    []map[string]any `toml:"tiers" json:"tiers"`
	Versions []map[string]any `toml:"versions" json:"versions"`
	Accounts []map[string]any `toml:"accounts" json:"accounts"`
	Routes   []map[string]any `toml:"routes" json:"routes"`
}

// readFile reads a TOML file, or a JSON file if its name ends in .json. It returns *FileError if
// the file cannot be read or decoded.
func readFile(path string) (*entities, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{File: path, Cause: err}
	}
	body := fileBody{}
	decoder := toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields()
	if strings.HasSuffix(path, ".json") {
		strict := json.NewDecoder(strings.NewReader(string(data)))
		strict.DisallowUnknownFields()
		err = strict.Decode(&body)
	} else {
		err = decoder.Decode(&body)
	}
	if err != nil {
		return nil, &FileError{File: path, Cause: err}
	}
	all, err := body.entities()
	if err != nil {
		return nil, &FileError{File: path, Cause: err}
	}
	return all, nil
}

func (f fileBody) entities() (*entities, error) {
	all := &entities{}
	var err error
	if all.tiers, err = decodeAll(f.Tiers, newTier); err != nil {
		return nil, err
	}
	if all.versions, err = decodeAll(f.Versions, newVersion); err != nil {
		return nil, err
	}
	if all.accounts, err = decodeAll(f.Accounts, newAccount); err != nil {
		return nil, err
	}
	if all.routes, err = decodeAll(f.Routes, newRoute); err != nil {
		return nil, err
	}
	return all, nil
}

func decodeAll[M proto.Message](values []map[string]any, newM func() M) ([]M, error) {
	var all []M
	for _, value := range values {
		normalise(value)
		data, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		message := newM()
		if err := protojson.Unmarshal(data, message); err != nil {
			return nil, err
		}
		all = append(all, message)
	}
	return all, nil
}

// normalise converts the short forms in an entity to those of the protobuf JSON encoding.
func normalise(value map[string]any) {
	expandEnumName(value, "kind", "BACKEND_KIND_")
	expandEnumName(value, "state", "VERSION_STATE_")
	// Values of other types are left unchanged; decoding the message rejects them.
	keys, _ := value["keys"].([]any)
	for _, entry := range keys {
		key, _ := entry.(map[string]any)
		text, _ := key["sha256"].(string)
		if hash, err := hex.DecodeString(text); err == nil && len(hash) > 0 {
			key["sha256"] = base64.StdEncoding.EncodeToString(hash)
		}
	}
}

func expandEnumName(value map[string]any, field, prefix string) {
	text, ok := value[field].(string)
	if ok && !strings.HasPrefix(text, prefix) {
		value[field] = prefix + strings.ToUpper(text)
	}
}
