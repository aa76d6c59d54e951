package btserve

import "bilberrytide/core/btbundle"

// ContentOf returns the digest by which a repeat under one idempotency key is
// told from another request: of the method, the path and the body.
func ContentOf(method, path string, body []byte) btbundle.Digest {
	content := append([]byte(method+" "+path+"\n"), body...)
	return btbundle.DigestOf(content)
}

// Content returns the request's content digest.
func (r Request) Content() btbundle.Digest { return ContentOf(r.Method, r.Path, r.Body) }
