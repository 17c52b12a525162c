package ids

// RequestKey identifies a request among those of all workspaces.
type RequestKey struct {
	Workspace Workspace
	Request   Request
}

// String returns the key in the form used for hashing and logs. The separator cannot occur in a workspace name.
func (k RequestKey) String() string {
	return string(k.Workspace) + "/" + string(k.Request)
}
