#include "services/platform_memory.h"

#include "kernel/error.h"
#include "services/object_store.h"

#include <string.h>

typedef struct
{
  struct ev_loop *loop;
  DyObjectStore store;
  GQueue replies; /* of Reply, to be delivered from the loop */
  GQueue watches; /* of Watch */
  ev_timer timer;
} PlatformMemory;

typedef struct
{
  int error;
  uint64_t version;
  char *value;
  size_t n_value;
  GArray *objects; /* of DyObject, whose texts belong to the store; NULL: not a list */
  DyPlatformDone done;
  void *ctx;
} Reply;

typedef struct
{
  char *prefix;
  uint64_t after;
  DyPlatformDone done;
  void *ctx;
} Watch;

static void
free_reply (gpointer data)
{
  Reply *reply = data;
  g_free (reply->value);
  if (reply->objects)
    g_array_unref (reply->objects);
  g_free (reply);
}

static void
free_watch (gpointer data)
{
  Watch *watch = data;
  g_free (watch->prefix);
  g_free (watch);
}

static Reply *
add_reply (PlatformMemory *impl, DyPlatformDone done, void *ctx)
{
  Reply *reply = g_new0 (Reply, 1);
  reply->done = done;
  reply->ctx = ctx;
  g_queue_push_tail (&impl->replies, reply);
  if (!ev_is_active (&impl->timer))
    {
      ev_timer_set (&impl->timer, 0.0, 0.0);
      ev_timer_start (impl->loop, &impl->timer);
    }
  return reply;
}

static void
reply_list (
    PlatformMemory *impl, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx)
{
  Reply *reply = add_reply (impl, done, ctx);
  reply->objects = dy_object_store_list (&impl->store, prefix, after);
  reply->version = impl->store.version;
}

static void
deliver_replies (struct ev_loop *loop, ev_timer *w, int events)
{
  PlatformMemory *impl = w->data;
  (void) loop;
  (void) events;
  guint n = impl->replies.length;
  while (n-- > 0)
    {
      Reply *reply = g_queue_pop_head (&impl->replies);
      DyPlatformReply out = { .error = reply->error,
                              .version = reply->version,
                              .value = reply->value,
                              .n_value = reply->n_value };
      if (reply->objects)
        {
          out.objects = (const DyObject *) (void *) reply->objects->data;
          out.n_objects = reply->objects->len;
        }
      reply->done (reply->ctx, &out);
      free_reply (reply);
    }
}

static void
notify_watches (PlatformMemory *impl, const char *key)
{
  GList *link = impl->watches.head;
  while (link)
    {
      GList *next = link->next;
      Watch *watch = link->data;
      if (g_str_has_prefix (key, watch->prefix))
        {
          reply_list (impl, watch->prefix, watch->after, watch->done, watch->ctx);
          free_watch (watch);
          g_queue_delete_link (&impl->watches, link);
        }
      link = next;
    }
}

static void
memory_get (void *self, const char *key, DyPlatformDone done, void *ctx)
{
  PlatformMemory *impl = self;
  DyObject object = { 0 };
  Reply *reply = add_reply (impl, done, ctx);
  reply->error = dy_object_store_get (&impl->store, key, &object);
  reply->version = object.version;
  reply->value = g_strndup (object.value ? object.value : "", object.n_value);
  reply->n_value = object.n_value;
}

static void
memory_put (void *self,
            const char *key,
            const char *value,
            size_t n,
            uint64_t expected,
            DyPlatformDone done,
            void *ctx)
{
  PlatformMemory *impl = self;
  Reply *reply = add_reply (impl, done, ctx);
  reply->error = dy_object_store_put (&impl->store, key, value, n, expected, &reply->version);
  if (reply->error == DY_OK)
    notify_watches (impl, key);
}

static void
memory_list (void *self, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx)
{
  PlatformMemory *impl = self;
  GArray *changes = dy_object_store_list (&impl->store, prefix, after);
  bool any = changes->len > 0;
  g_array_unref (changes);
  if (any || after == 0)
    {
      reply_list (impl, prefix, after, done, ctx);
      return;
    }
  Watch *watch = g_new0 (Watch, 1);
  watch->prefix = g_strdup (prefix);
  watch->after = after;
  watch->done = done;
  watch->ctx = ctx;
  g_queue_push_tail (&impl->watches, watch);
}

static void
memory_changes (void *self, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx)
{
  reply_list (self, prefix, after, done, ctx);
}

static void
memory_vms (void *self, DyPlatformDone done, void *ctx)
{
  static const char empty_list[] = "{\"vms\": []}";
  Reply *reply = add_reply (self, done, ctx);
  reply->value = g_strdup (empty_list);
  reply->n_value = sizeof empty_list - 1;
}

static void
memory_free (void *self)
{
  PlatformMemory *impl = self;
  ev_timer_stop (impl->loop, &impl->timer);
  g_queue_clear_full (&impl->replies, free_reply);
  g_queue_clear_full (&impl->watches, free_watch);
  dy_object_store_finish (&impl->store);
  g_free (impl);
}

const DyPlatformOps dy_platform_memory_ops = { .get = memory_get,
                                               .put = memory_put,
                                               .list = memory_list,
                                               .changes = memory_changes,
                                               .vms = memory_vms,
                                               .free = memory_free };

void *
dy_platform_memory_new (struct ev_loop *loop)
{
  PlatformMemory *impl = g_new0 (PlatformMemory, 1);
  impl->loop = loop;
  dy_object_store_init (&impl->store);
  g_queue_init (&impl->replies);
  g_queue_init (&impl->watches);
  ev_timer_init (&impl->timer, deliver_replies, 0.0, 0.0);
  impl->timer.data = impl;
  return impl;
}
