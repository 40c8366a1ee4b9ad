// System calls of one gateway process made to fail, for tests: loaded with LD_PRELOAD, into that process alone.
//
// A fault is on while a file of its name stands in the folder that GATEWAY_FAULTS names. The file holds one number, or two:
//   short N       one in N reads and writes of a socket is cut short
//   eintr N       one in N reads and writes of a socket, and one in N accepts, is interrupted (EINTR)
//   wake N        one in N writes by which a signal's handler wakes the gateway is interrupted
//   waits N       one in N waits for events is interrupted
//   broken N E    one in N reads and writes of a socket fails with the error number E
//   accept N      one in N accepts fails, with one error after another
//   socket N E    one in N calls of socket fails with E
//   connect N E   one in N calls of connect fails with E
//   realtime S    the wall clock is off by S seconds
//   disk-slow MS  each sync of a regular file or a folder takes so many milliseconds longer
//   disk-CALL N E one in N calls on a regular file fails with E; CALL is open, write, sync, truncate or rename
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

struct fault { long one_in, number; };

static unsigned long drawn(void) {
    static _Atomic unsigned long state = 88172645463325252ul;
    unsigned long x = state;
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    return state = x;
}

// The fault of this name: one_in is 0 where it is off.
static struct fault fault(const char *name) {
    struct fault found = {0, 0};
    const char *folder = getenv("GATEWAY_FAULTS");
    char path[512], text[64];
    if (!folder || snprintf(path, sizeof path, "%s/%s", folder, name) >= (int)sizeof path) return found;
    int before = errno;
    int fd = (int)syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC);
    if (fd >= 0) {
        long n = syscall(SYS_read, fd, text, sizeof text - 1);
        syscall(SYS_close, fd);
        text[n > 0 ? n : 0] = 0;
        sscanf(text, "%ld %ld", &found.one_in, &found.number);
    }
    errno = before;
    return found;
}

// Whether this call is to fail.
static int strikes(struct fault f) { return f.one_in > 0 && drawn() % (unsigned long)f.one_in == 0; }

static int is_kind(int fd, mode_t kind) {
    struct stat status;
    return syscall(SYS_fstat, fd, &status) == 0 && (status.st_mode & S_IFMT) == kind;
}

static ssize_t failed(int error) {
    errno = error;
    return -1;
}

// The length that a call on a socket may have; 0 where it fails with errno.
static size_t allowed(size_t length) {
    struct fault broken = fault("broken");
    if (strikes(broken)) return failed((int)broken.number), 0;
    if (strikes(fault("eintr"))) return failed(EINTR), 0;
    if (length > 1 && strikes(fault("short"))) return 1 + drawn() % (length / 2);
    return length;
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    if (flags & MSG_PEEK || length == 0) return REAL(recv)(fd, bytes, length, flags);
    size_t most = allowed(length);
    return most ? REAL(recv)(fd, bytes, most, flags) : -1;
}

ssize_t recvfrom(int fd, void *bytes, size_t length, int flags, struct sockaddr *from, socklen_t *size) {
    if (flags & MSG_PEEK || length == 0) return REAL(recvfrom)(fd, bytes, length, flags, from, size);
    size_t most = allowed(length);
    return most ? REAL(recvfrom)(fd, bytes, most, flags, from, size) : -1;
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    // Of all that the gateway sends only its handlers' wakes are one byte that may not wait.
    if (length == 1 && flags & MSG_DONTWAIT && strikes(fault("wake"))) return failed(EINTR);
    size_t most = length ? allowed(length) : 0;
    if (!length) return REAL(send)(fd, bytes, length, flags);
    return most ? REAL(send)(fd, bytes, most, flags) : -1;
}

ssize_t read(int fd, void *bytes, size_t length) {
    if (length == 0 || !is_kind(fd, S_IFSOCK)) return syscall(SYS_read, fd, bytes, length);
    size_t most = allowed(length);
    return most ? syscall(SYS_read, fd, bytes, most) : -1;
}

ssize_t write(int fd, const void *bytes, size_t length) {
    if (length && is_kind(fd, S_IFSOCK)) {
        size_t most = allowed(length);
        return most ? syscall(SYS_write, fd, bytes, most) : -1;
    }
    if (length && is_kind(fd, S_IFREG)) {
        struct fault disk = fault("disk-write");
        if (strikes(disk)) {
            // Half of it is on its way when the disk is full.
            if (length > 1) (void)!syscall(SYS_write, fd, bytes, length / 2);
            return failed((int)disk.number);
        }
    }
    return syscall(SYS_write, fd, bytes, length);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    if (count > 0 && is_kind(fd, S_IFSOCK)) {
        for (int i = 0; i < count; i++) {
            if (!parts[i].iov_len) continue;
            size_t most = allowed(parts[i].iov_len);
            if (!most) return -1;
            if (most < parts[i].iov_len) return syscall(SYS_write, fd, parts[i].iov_base, most);
            break;
        }
    }
    return syscall(SYS_writev, fd, parts, count);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    static const int codes[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EINTR};
    static _Atomic unsigned int next;
    if (strikes(fault("accept"))) return (int)failed(codes[next++ % (sizeof codes / sizeof *codes)]);
    if (strikes(fault("eintr"))) return (int)failed(EINTR);
    return (int)syscall(SYS_accept4, fd, address, size, flags);
}

int socket(int domain, int type, int protocol) {
    struct fault f = fault("socket");
    if (strikes(f)) return (int)failed((int)f.number);
    return (int)syscall(SYS_socket, domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    struct fault f = fault("connect");
    if (strikes(f)) return (int)failed((int)f.number);
    return (int)syscall(SYS_connect, fd, address, size);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    if (strikes(fault("waits"))) return (int)failed(EINTR);
    return REAL(epoll_wait)(fd, events, most, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = (int)syscall(SYS_clock_gettime, clock, now);
    if (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE) now->tv_sec += fault("realtime").one_in;
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    int result = (int)syscall(SYS_gettimeofday, now, zone);
    now->tv_sec += fault("realtime").one_in;
    return result;
}

static int disk(const char *name, int fd) {
    struct fault f = fault(name);
    return (fd < 0 || is_kind(fd, S_IFREG) || is_kind(fd, S_IFDIR)) && strikes(f) ? (int)f.number : 0;
}

static void slow_sync(void) {
    usleep((useconds_t)fault("disk-slow").one_in * 1000);
}

int fsync(int fd) {
    slow_sync();
    int error = disk("disk-sync", fd);
    return error ? (int)failed(error) : (int)syscall(SYS_fsync, fd);
}

int fdatasync(int fd) {
    slow_sync();
    int error = disk("disk-sync", fd);
    return error ? (int)failed(error) : (int)syscall(SYS_fdatasync, fd);
}

int ftruncate64(int fd, off64_t length) {
    int error = disk("disk-truncate", fd);
    return error ? (int)failed(error) : (int)syscall(SYS_ftruncate, fd, length);
}

int rename(const char *from, const char *to) {
    int error = disk("disk-rename", -1);
    return error ? (int)failed(error) : (int)syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0);
}

int open64(const char *path, int flags, ...) {
    mode_t mode = 0;
    if (flags & O_CREAT) {
        va_list rest;
        va_start(rest, flags);
        mode = va_arg(rest, mode_t);
        va_end(rest);
        int error = disk("disk-open", -1);
        if (error) return (int)failed(error);
    }
    return (int)syscall(SYS_openat, AT_FDCWD, path, flags, mode);
}
