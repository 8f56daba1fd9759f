/* lc-wire-snapshot: encodes a view, or the part of it in a scope, as a series of snapshot parts.
 *
 * HOW TO USE IT
 *     GPtrArray *parts = lc_wire_snapshot_encode (&scope, &view);    GByteArray each
 *     ... send each as a ViewSnapshotPart ...
 *     g_ptr_array_free (parts, TRUE);
 *
 * LIMITS
 *   512 operations a part, which keeps a part far below a frame's limit.
 */
#ifndef LC_WIRE_SNAPSHOT_H
#define LC_WIRE_SNAPSHOT_H

#include "core/member/lc-scope.h"

GPtrArray *lc_wire_snapshot_encode (const LcScope *scope, const LcView *view);

#endif /* LC_WIRE_SNAPSHOT_H */
