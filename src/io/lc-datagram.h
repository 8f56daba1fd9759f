/* lc-datagram: a UDP socket on an h2o event loop with batched system calls.
 *
 * WHAT IT IS
 *   When the socket is readable, up to LC_DATAGRAM_BATCH datagrams are read by one system call and
 *   passed to `received` one by one; then `batch_end` is called.  Sends are queued and written by
 *   one system call when the queue is full, after `batch_end`, or by lc_datagram_flush.
 *
 * HOW TO USE IT
 *     LcDatagramDesc desc = { .loop = loop, .ipv4 = ip, .port = 7100, .user = me,
 *                             .received = on_datagram, .batch_end = on_batch_end };
 *     lc_datagram_init (&datagram, &desc, &error);
 *     lc_datagram_send (&datagram, ipv4, udp_port, header, header_len, payload, payload_len);
 *     lc_datagram_flush (&datagram);
 *     lc_datagram_finish (&datagram);
 *
 * THREADS
 *   Everything on the loop's thread.
 *
 * LIMITS
 *   Datagrams over LC_DATAGRAM_BYTES are counted and dropped, as are sends that the kernel refuses,
 *   for example for want of buffer space.
 */
#ifndef LC_DATAGRAM_H
#define LC_DATAGRAM_H

#include "core/lc-error.h"
#include "core/lc-types.h"

#include <h2o.h>
#include <netinet/in.h>
#include <sys/socket.h>

enum
{
  LC_DATAGRAM_BATCH = 64,
  LC_DATAGRAM_BYTES = 4096,
};

typedef struct
{
  h2o_loop_t *loop;
  uint32_t ipv4;
  uint16_t port;         /* 0: the kernel picks one, see lc_datagram_port */
  uint32_t buffer_bytes; /* SO_RCVBUF and SO_SNDBUF; 0: 4 MiB (the kernel may cap it) */
  void *user;
  void (*received) (void *user, uint8_t *bytes, size_t len, uint32_t ipv4, uint16_t port);
  void (*batch_end) (void *user); /* after each readable event; may be NULL */
} LcDatagramDesc;

typedef struct
{
  struct mmsghdr headers[LC_DATAGRAM_BATCH];
  struct iovec parts[LC_DATAGRAM_BATCH];
  struct sockaddr_in addresses[LC_DATAGRAM_BATCH];
  uint8_t bytes[LC_DATAGRAM_BATCH][LC_DATAGRAM_BYTES];
} LcDatagramBatch;

typedef struct
{
  LcDatagramDesc desc;
  h2o_socket_t *socket;
  LcDatagramBatch *in;  /* owned */
  LcDatagramBatch *out; /* owned */
  uint32_t n_out;
  uint64_t received_total;
  uint64_t sent_total;
  uint64_t sent_bytes_total;
  uint64_t oversized_total;
  uint64_t unsent_total;
} LcDatagram;

int lc_datagram_init (LcDatagram *datagram, const LcDatagramDesc *desc, LcError *error);
void lc_datagram_finish (LcDatagram *datagram);
uint16_t lc_datagram_port (const LcDatagram *datagram);
/* Queues a copy of both parts; 0, or LC_ERR_FULL when they are too long together. */
int lc_datagram_send (LcDatagram *datagram,
                      uint32_t ipv4,
                      uint16_t port,
                      const void *header,
                      size_t header_len,
                      const void *payload,
                      size_t payload_len);
void lc_datagram_flush (LcDatagram *datagram);

#endif /* LC_DATAGRAM_H */
