/* lc-listen: opens listening TCP sockets for lc-link and lc-http.
 *
 * HOW TO USE IT
 *     int fd = lc_listen_tcp (ipv4, port, "free the port", &error);
 *     if (fd < 0)
 *       return fd;
 *
 * LIFETIME
 *   The caller owns the descriptor; it is non-blocking and closed on exec.
 */
#ifndef LC_LISTEN_H
#define LC_LISTEN_H

#include "core/lc-error.h"

#include <stdint.h>

/* The descriptor, or LC_ERR_IO with `remedy` when the address can't be bound.  `ipv4` and `port`
 * are in host byte order; port 0 lets the kernel pick one. */
int lc_listen_tcp (uint32_t ipv4, uint16_t port, const char *remedy, LcError *error);

#endif /* LC_LISTEN_H */
