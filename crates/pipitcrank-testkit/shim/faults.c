/* Injects documented Linux system call failures into the process under test (LD_PRELOAD). The failure rate of each kind
 * is read from a mapped file that the soak test writes while the process runs. Calls that do not fail behave as usual,
 * except that clock_gettime adds the offset of the wall clock. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* Layout of the file: one rate per kind (failures per million calls), the offset of the wall clock in microseconds, and
 * the seed of the random numbers. */
enum { SHORT_READ, SHORT_WRITE, ACCEPT, SOCKET, CONNECT, BIND, INTERRUPT, BROKEN, HOLD, OPEN, KINDS = 16 };
struct control {
    volatile uint32_t rate[KINDS];
    volatile int64_t wall_step_us;
    volatile uint64_t seed;
};

enum { FILES = 4096, SHORT_MOST = 40, HOLD_MS = 140 };

static struct control *control;
static uint64_t state;
static unsigned char outgoing[FILES];

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

__attribute__((constructor)) static void initialize(void) {
    const char *path = getenv("PIPITCRANK_FAULTS");
    int fd = path ? (int)REAL(open)(path, O_RDONLY | O_CLOEXEC) : -1;
    if (fd < 0)
        return;
    void *map = mmap(0, sizeof(struct control), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    if (map == MAP_FAILED)
        return;
    control = map;
    state = control->seed ^ ((uint64_t)getpid() << 20) ^ 0x9e3779b97f4a7c15u;
}

static uint64_t next(void) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

static int fails(int kind) {
    uint32_t rate = control ? control->rate[kind] : 0;
    return rate && next() % 1000000 < rate;
}

static int fail_with(const int *errors, int count) {
    errno = errors[next() % count];
    return -1;
}

static int interrupted(void) {
    if (!fails(INTERRUPT))
        return 0;
    errno = EINTR;
    return 1;
}

static void hold(void) {
    if (fails(HOLD)) {
        struct timespec pause = {0, HOLD_MS * 1000000L};
        nanosleep(&pause, 0);
    }
}

static int is_outgoing(int fd) { return fd >= 0 && fd < FILES && outgoing[fd]; }

static int connection_breaks(int fd) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    return is_outgoing(fd) && fails(BROKEN) ? fail_with(errors, 3) : 0;
}

static size_t shortened(size_t length) {
    size_t most = 1 + next() % SHORT_MOST;
    return length < most ? length : most;
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    if (interrupted() || connection_breaks(fd))
        return -1;
    if (length > 1 && !(flags & MSG_PEEK) && fails(SHORT_READ))
        length = shortened(length);
    return REAL(recv)(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    if (interrupted())
        return -1;
    hold();
    if (length > 1 && fails(SHORT_WRITE))
        length = shortened(length);
    return REAL(send)(fd, buffer, length, flags);
}

ssize_t writev(int fd, const struct iovec *pieces, int count) {
    if (interrupted())
        return -1;
    hold();
    if (count > 0 && fails(SHORT_WRITE)) {
        struct iovec first = pieces[0];
        first.iov_len = shortened(first.iov_len);
        return REAL(writev)(fd, &first, 1);
    }
    return REAL(writev)(fd, pieces, count);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EINTR};
    if (fails(ACCEPT))
        return fail_with(errors, 5);
    int accepted = REAL(accept4)(fd, address, length, flags);
    if (accepted >= 0 && accepted < FILES)
        outgoing[accepted] = 0;
    return accepted;
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, EMFILE, ENOBUFS};
    return fails(SOCKET) ? fail_with(errors, 3) : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EINTR, ENOBUFS};
    if (fails(CONNECT))
        return fail_with(errors, 4);
    if (fd >= 0 && fd < FILES)
        outgoing[fd] = 1;
    return REAL(connect)(fd, address, length);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRINUSE, ENOBUFS};
    return fails(BIND) ? fail_with(errors, 2) : REAL(bind)(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    return interrupted() ? -1 : REAL(epoll_wait)(fd, events, most, timeout);
}

static int open_fails(const char *path) {
    static const int errors[] = {EMFILE, ENFILE, EIO};
    return strstr(path, "charter") && fails(OPEN) ? fail_with(errors, 3) : 0;
}

int open64(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    mode_t mode = va_arg(rest, mode_t);
    va_end(rest);
    return open_fails(path) ? -1 : REAL(open64)(path, flags, mode);
}

int clock_gettime(clockid_t which, struct timespec *time) {
    int result = REAL(clock_gettime)(which, time);
    if (result == 0 && control && which == CLOCK_REALTIME) {
        int64_t us = time->tv_nsec / 1000 + control->wall_step_us % 1000000;
        time->tv_sec += control->wall_step_us / 1000000 + (us >= 1000000) - (us < 0);
        time->tv_nsec = (us + 1000000) % 1000000 * 1000;
    }
    return result;
}
