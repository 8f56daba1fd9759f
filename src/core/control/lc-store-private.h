/* lc-store-private: internal declarations shared by the source files of lc-store.
 *
 *   lc-store.c          formatting and writing
 *   lc-store-recover.c  opening and recovery
 */
#ifndef LC_STORE_PRIVATE_H
#define LC_STORE_PRIVATE_H

#include "lc-store.h"

enum
{
  LC_STORE_IDENTITY_MAGIC = 0x4c434944,
  LC_STORE_SNAPSHOT_MAGIC = 0x4c43534e,
  LC_STORE_VERSION = 1,
  LC_STORE_SEGMENT_BYTES = 8 << 20,
  LC_STORE_NAME_BYTES = 32,
  LC_STORE_HASH_BYTES = 8,
};

#define LC_STORE_IDENTITY "identity"
#define LC_STORE_SNAPSHOT "snapshot"
#define LC_STORE_DISCARD "discard"

/* Records that the newest segment holds entries up to `index`. */
void lc_store__note_segment_end (LcStore *store, uint64_t index);

#endif /* LC_STORE_PRIVATE_H */
