package rhubarbgate

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/http/operator"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const checkedDocument = `{"version":7,"routes":[{"name":"r1","host":"h","path_prefix":"/a/","kind":"safe","timeout_ms":5000,"service":"s1"}],
"services":[{"name":"s1"}],"tenants":[{"name":"t1","api_keys":["sk-one","sk-two"]}]}`

// TestBundleCheck guards against a wrong exit status, output that varies, and secrets or digests of keys in it.
func TestBundleCheck(t *testing.T) {
	tests := []struct {
		name, old, new string
		against        string // version of the document to compare with
		status         int
		want           string
	}{
		{"clean", `"version":7`, `"version":8`, "", 0, "version 8, 0 errors, 0 warnings"},
		{"warning", `"sk-two"`, `"sk-one"`, "", exitWarnings, ":2:73: warning: tenants[0].api_keys[1]: the key of workspace \"t1\" is the same as tenants[0].api_keys[0]"},
		{"error", `5000`, `0`, "", exitErrors, `:1:24: error: routes[0]: "r1" has a timeout of 0s`},
		{"malformed", `5000`, `5x`, "", exitErrors, ":1:96: error: invalid character 'x'"},
		{"changed", `"version":7`, `"version":8`, "6", 0, "differences from version 6: 0"},
		{"removed key", `,"sk-two"`, ``, "6", 0, `workspace "t1" changed: Keys: 0 added, 1 removed`},
		{"not newer", `5000`, `6000`, "7", exitWarnings, `route "r1" changed: Timeout: 5s, now 6s`},
	}
	dir := t.TempDir()
	path, earlier := filepath.Join(dir, "new.json"), filepath.Join(dir, "old.json")
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			text := strings.Replace(checkedDocument, x.old, x.new, 1)
			qt.Assert(t, text, qt.Not(qt.Equals), checkedDocument)
			qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
			args := []string{"bundle", "check", path}
			if x.against != "" {
				text := strings.Replace(checkedDocument, `"version":7`, `"version":`+x.against, 1)
				qt.Assert(t, os.WriteFile(earlier, []byte(text), 0o600), qt.IsNil)
				args = append(args, "--against", earlier)
			}
			status, out, errs := run(args...)
			qt.Assert(t, status, qt.Equals, x.status, qt.Commentf("%s%s", out, errs))
			qt.Assert(t, out, qt.Contains, x.want)
			_, again, _ := run(args...)
			qt.Assert(t, again, qt.Equals, out)
			status, asJSON, _ := run(append(args, "--json")...)
			qt.Assert(t, status, qt.Equals, x.status)
			qt.Assert(t, json.Valid([]byte(asJSON)), qt.IsTrue)
			for _, secret := range []string{"sk-one", "sk-two", config.KeyDigest("sk-one"), config.KeyDigest("sk-two")} {
				qt.Assert(t, strings.Contains(out+errs+asJSON, secret), qt.IsFalse)
			}
		})
	}
}

// TestBundleCheckFleet guards against a comparison with another version than the one asked for, and against an exit
// status of a failed check that means only warnings.
func TestBundleCheckFleet(t *testing.T) {
	fleet := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(&operator.Configuration{Version: 3, Section: rhubarbgate.Section{
			Workspaces: []rhubarbgate.Workspace{{Name: "w", Burst: 1}}, Keys: []rhubarbgate.Key{{Digest: "digest", Workspace: "w"}},
		}})
	}))
	defer fleet.Close()
	path := filepath.Join(t.TempDir(), "bundle.json")
	qt.Assert(t, os.WriteFile(path, []byte(`{"Version":4,"Base":3,"Put":{"Objectives":[{"Name":"o","Goal":0.9,"Workspace":"w"}]}}`), 0o600), qt.IsNil)
	tests := []struct {
		name   string
		args   []string
		status int
		want   string
	}{
		{"in force", []string{path, "--against", "FLEET"}, 0, `objective "o" added`},
		{"that version", []string{path, "--against", "3"}, 0, `objective "o" added`},
		{"another version", []string{path, "--against", "2"}, exitErrors, "version 3 is in force"},
		{"no base", []string{path}, 0, "note: "},
		{"changes as base", []string{path, "--against", path}, exitErrors, "not a full configuration"},
		{"no file", []string{path + "x"}, exitErrors, "no such file"},
		{"no argument", nil, exitErrors, "accepts 1 arg"},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			status, out, errs := run(append([]string{"bundle", "check", "--operator", fleet.URL}, x.args...)...)
			qt.Assert(t, status, qt.Equals, x.status, qt.Commentf("%s%s", out, errs))
			qt.Assert(t, out+errs, qt.Contains, x.want)
		})
	}
}
