#include "lc-datagram.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

enum
{
  LC_DATAGRAM_BUFFER_BYTES = 4 << 20,
  LC_DATAGRAM_ROUNDS = 4, /* batches read per event, so that others get their turn */
};

/* === private: batches ======================================================================= */

static LcDatagramBatch *
lc_datagram__new_batch (void)
{
  LcDatagramBatch *b = g_new0 (LcDatagramBatch, 1);

  for (uint32_t i = 0; i < LC_DATAGRAM_BATCH; i++)
    {
      b->parts[i].iov_base = b->bytes[i];
      b->headers[i].msg_hdr.msg_iov = &b->parts[i];
      b->headers[i].msg_hdr.msg_iovlen = 1;
      b->headers[i].msg_hdr.msg_name = &b->addresses[i];
    }
  return b;
}

static int
lc_datagram__read (LcDatagram *d)
{
  LcDatagramBatch *b = d->in;
  int n;

  for (uint32_t i = 0; i < LC_DATAGRAM_BATCH; i++)
    {
      b->parts[i].iov_len = LC_DATAGRAM_BYTES;
      b->headers[i].msg_hdr.msg_namelen = sizeof b->addresses[i];
    }
  n = recvmmsg (h2o_socket_get_fd (d->socket), b->headers, LC_DATAGRAM_BATCH, MSG_DONTWAIT, NULL);
  for (int i = 0; i < n; i++)
    {
      d->received_total++;
      if ((b->headers[i].msg_hdr.msg_flags & MSG_TRUNC) != 0)
        d->oversized_total++;
      else
        d->desc.received (d->desc.user, b->bytes[i], b->headers[i].msg_len,
                          ntohl (b->addresses[i].sin_addr.s_addr),
                          ntohs (b->addresses[i].sin_port));
    }
  return n;
}

static void
lc_datagram__on_readable (h2o_socket_t *socket, const char *err)
{
  LcDatagram *d = socket->data;

  if (err != NULL)
    return;
  for (uint32_t round = 0; round < LC_DATAGRAM_ROUNDS; round++)
    if (lc_datagram__read (d) < LC_DATAGRAM_BATCH)
      break;
  if (d->desc.batch_end != NULL)
    d->desc.batch_end (d->desc.user);
  lc_datagram_flush (d);
}

/* === private: the socket ==================================================================== */

static int
lc_datagram__open (const LcDatagramDesc *desc, LcError *error)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int bytes = desc->buffer_bytes != 0 ? (int)desc->buffer_bytes : LC_DATAGRAM_BUFFER_BYTES;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (desc->ipv4);
  address.sin_port = htons (desc->port);
  if (fd < 0)
    return lc_error_set (error, LC_ERR_IO, "raise the limit of open files", "UDP socket: %s",
                         g_strerror (errno));
  (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  (void)setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  (void)lc_error_set (error, LC_ERR_IO, "stop the process that has the port, or set another one",
                      "UDP port %u: %s", desc->port, g_strerror (errno));
  (void)close (fd);
  return LC_ERR_IO;
}

/* === public ================================================================================= */

int
lc_datagram_init (LcDatagram *d, const LcDatagramDesc *desc, LcError *error)
{
  int fd;

  memset (d, 0, sizeof *d);
  d->desc = *desc;
  fd = lc_datagram__open (desc, error);
  if (fd < 0)
    return fd;
  d->in = lc_datagram__new_batch ();
  d->out = lc_datagram__new_batch ();
  d->socket = h2o_evloop_socket_create (desc->loop, fd, H2O_SOCKET_FLAG_DONT_READ);
  d->socket->data = d;
  h2o_socket_read_start (d->socket, lc_datagram__on_readable);
  return LC_OK;
}

void
lc_datagram_finish (LcDatagram *d)
{
  if (d->socket != NULL)
    h2o_socket_close (d->socket);
  g_free (d->in);
  g_free (d->out);
  memset (d, 0, sizeof *d);
}

uint16_t
lc_datagram_port (const LcDatagram *d)
{
  struct sockaddr_in address = { 0 };
  socklen_t len = sizeof address;

  if (getsockname (h2o_socket_get_fd (d->socket), (struct sockaddr *)&address, &len) < 0)
    return 0;
  return ntohs (address.sin_port);
}

int
lc_datagram_send (LcDatagram *d,
                  uint32_t ipv4,
                  uint16_t port,
                  const void *header,
                  size_t header_len,
                  const void *payload,
                  size_t payload_len)
{
  struct sockaddr_in *address;
  uint32_t i;

  if (header_len + payload_len > LC_DATAGRAM_BYTES)
    {
      d->oversized_total++;
      return LC_ERR_FULL;
    }
  if (d->n_out == LC_DATAGRAM_BATCH)
    lc_datagram_flush (d);
  i = d->n_out++;
  address = &d->out->addresses[i];
  address->sin_family = AF_INET;
  address->sin_addr.s_addr = htonl (ipv4);
  address->sin_port = htons (port);
  d->out->headers[i].msg_hdr.msg_namelen = sizeof *address;
  memcpy (d->out->bytes[i], header, header_len);
  if (payload_len > 0)
    memcpy (d->out->bytes[i] + header_len, payload, payload_len);
  d->out->parts[i].iov_len = header_len + payload_len;
  return LC_OK;
}

void
lc_datagram_flush (LcDatagram *d)
{
  uint32_t done = 0;

  while (done < d->n_out)
    {
      int n = sendmmsg (h2o_socket_get_fd (d->socket), d->out->headers + done, d->n_out - done,
                        MSG_DONTWAIT);

      if (n <= 0)
        {
          /* The first one was refused (no route, no buffer): drop it, try the rest. */
          d->unsent_total++;
          done++;
          continue;
        }
      for (int i = 0; i < n; i++)
        d->sent_bytes_total += d->out->parts[done + (uint32_t)i].iov_len;
      d->sent_total += (uint64_t)n;
      done += (uint32_t)n;
    }
  d->n_out = 0;
}
