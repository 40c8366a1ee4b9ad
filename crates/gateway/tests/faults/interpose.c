// Fault injection for tests: makes C library calls of one gateway process fail. Loaded into that process alone, with
// LD_PRELOAD.
//
// A fault is enabled while a file of its name exists in the directory that GATEWAY_FAULTS names. The file holds one
// number or two:
//   short N       one in N reads and writes of a socket transfers only part of the data
//   eintr N       one in N reads and writes of a socket, and one in N accepts, is interrupted (EINTR)
//   wake N        one in N writes by which a signal handler wakes the gateway is interrupted
//   waits N       one in N waits for events is interrupted
//   broken N E    one in N reads and writes of a socket fails with the error number E
//   accept N E    one in N accepts fails with E; without E, with a different error each time
//   fcntl N E     one in N changes of a socket's flags fails with E
//   setsockopt N E  one in N changes of a socket's options fails with E
//   epoll-add N E one in N sockets that epoll is to watch is refused with E
//   poll N E      one in N calls of poll fails with E
//   socket N E    one in N calls of socket fails with E
//   connect N E   one in N calls of connect fails with E
//   tcp-info N L  one in N reads of TCP_INFO fills in only L bytes
//   tcp-info-error N E  one in N reads of TCP_INFO fails with E
//   threads N E   one in N starts of a thread fails with E
//   realtime S    the wall clock is S seconds ahead; a negative S sets it back
//   disk-slow MS  each sync of a regular file or a directory takes MS milliseconds longer
//   disk-CALL N E one in N calls on a regular file fails with E; CALL is open, read, write, sync, truncate or rename
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
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

// Interposed functions make system calls themselves: a signal handler that calls dlsym waits for the loader's lock, which the
// thread that it interrupted may hold.
static int (*real_pthread_create)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);

__attribute__((constructor)) static void find_real_functions(void) {
    real_pthread_create = (__typeof__(real_pthread_create))dlsym(RTLD_NEXT, "pthread_create");
}

struct fault { long one_in, number; };

static unsigned long next_random(void) {
    static _Atomic unsigned long state = 88172645463325252ul;
    unsigned long x = state;
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    return state = x;
}

// Reads the numbers of a fault; one_in is 0 where the fault is not enabled.
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

// Returns whether the current call is to fail.
static int should_fail(struct fault f) { return f.one_in > 0 && next_random() % (unsigned long)f.one_in == 0; }

static int has_file_type(int fd, mode_t type) {
    struct stat status;
    return syscall(SYS_fstat, fd, &status) == 0 && (status.st_mode & S_IFMT) == type;
}

static ssize_t fail_with(int error) {
    errno = error;
    return -1;
}

// Returns the number of bytes that a call on a socket may transfer, or 0 with errno set where the call is to fail.
static size_t permitted_length(size_t length) {
    struct fault broken = fault("broken");
    if (should_fail(broken)) return fail_with((int)broken.number), 0;
    if (should_fail(fault("eintr"))) return fail_with(EINTR), 0;
    if (length > 1 && should_fail(fault("short"))) return 1 + next_random() % (length / 2);
    return length;
}

ssize_t recvfrom(int fd, void *bytes, size_t length, int flags, struct sockaddr *from, socklen_t *size) {
    if (flags & MSG_PEEK || length == 0) return syscall(SYS_recvfrom, fd, bytes, length, flags, from, size);
    size_t permitted = permitted_length(length);
    return permitted ? syscall(SYS_recvfrom, fd, bytes, permitted, flags, from, size) : -1;
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) { return recvfrom(fd, bytes, length, flags, NULL, NULL); }

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    // Only the signal handlers' wake-ups are single bytes that the gateway sends without blocking.
    if (length == 1 && flags & MSG_DONTWAIT && should_fail(fault("wake"))) return fail_with(EINTR);
    size_t permitted = length ? permitted_length(length) : 0;
    if (!length) return syscall(SYS_sendto, fd, bytes, length, flags, NULL, 0);
    return permitted ? syscall(SYS_sendto, fd, bytes, permitted, flags, NULL, 0) : -1;
}

ssize_t read(int fd, void *bytes, size_t length) {
    if (length && has_file_type(fd, S_IFREG)) {
        struct fault disk = fault("disk-read");
        if (should_fail(disk)) return fail_with((int)disk.number);
    }
    if (length == 0 || !has_file_type(fd, S_IFSOCK)) return syscall(SYS_read, fd, bytes, length);
    size_t permitted = permitted_length(length);
    return permitted ? syscall(SYS_read, fd, bytes, permitted) : -1;
}

ssize_t write(int fd, const void *bytes, size_t length) {
    if (length && has_file_type(fd, S_IFSOCK)) {
        size_t permitted = permitted_length(length);
        return permitted ? syscall(SYS_write, fd, bytes, permitted) : -1;
    }
    if (length && has_file_type(fd, S_IFREG)) {
        struct fault disk = fault("disk-write");
        if (should_fail(disk)) {
            // A disk that fills up has already stored part of the data.
            if (length > 1) (void)!syscall(SYS_write, fd, bytes, length / 2);
            return fail_with((int)disk.number);
        }
    }
    return syscall(SYS_write, fd, bytes, length);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    if (count > 0 && has_file_type(fd, S_IFSOCK)) {
        for (int i = 0; i < count; i++) {
            if (!parts[i].iov_len) continue;
            size_t permitted = permitted_length(parts[i].iov_len);
            if (!permitted) return -1;
            if (permitted < parts[i].iov_len) return syscall(SYS_write, fd, parts[i].iov_base, permitted);
            break;
        }
    }
    return syscall(SYS_writev, fd, parts, count);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    static const int codes[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EINTR};
    static _Atomic unsigned int next;
    struct fault f = fault("accept");
    if (should_fail(f)) return (int)fail_with(f.number ? (int)f.number : codes[next++ % (sizeof codes / sizeof *codes)]);
    if (should_fail(fault("eintr"))) return (int)fail_with(EINTR);
    return (int)syscall(SYS_accept4, fd, address, size, flags);
}

int socket(int domain, int type, int protocol) {
    struct fault f = fault("socket");
    if (should_fail(f)) return (int)fail_with((int)f.number);
    return (int)syscall(SYS_socket, domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    struct fault f = fault("connect");
    if (should_fail(f)) return (int)fail_with((int)f.number);
    return (int)syscall(SYS_connect, fd, address, size);
}

int getsockopt(int fd, int level, int name, void *value, socklen_t *size) {
    struct fault f = {0, 0};
    if (level == IPPROTO_TCP && name == TCP_INFO) f = fault("tcp-info");
    if (should_fail(f) && *size > (socklen_t)f.number) *size = (socklen_t)f.number;
    if (level == IPPROTO_TCP && name == TCP_INFO) {
        struct fault error = fault("tcp-info-error");
        if (should_fail(error)) return (int)fail_with((int)error.number);
    }
    return (int)syscall(SYS_getsockopt, fd, level, name, value, size);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t size) {
    struct fault f = fault("setsockopt");
    if (should_fail(f)) return (int)fail_with((int)f.number);
    return (int)syscall(SYS_setsockopt, fd, level, name, value, size);
}

int fcntl64(int fd, int command, ...) {
    va_list rest;
    va_start(rest, command);
    long argument = va_arg(rest, long);
    va_end(rest);
    struct fault f = fault("fcntl");
    if (command == F_SETFL && has_file_type(fd, S_IFSOCK) && should_fail(f)) return (int)fail_with((int)f.number);
    return (int)syscall(SYS_fcntl, fd, command, argument);
}

int fcntl(int fd, int command, ...) {
    va_list rest;
    va_start(rest, command);
    long argument = va_arg(rest, long);
    va_end(rest);
    return fcntl64(fd, command, argument);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*start)(void *), void *argument) {
    struct fault f = fault("threads");
    if (should_fail(f)) return (int)f.number;
    return real_pthread_create(thread, attributes, start, argument);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    if (should_fail(fault("waits"))) return (int)fail_with(EINTR);
    return (int)syscall(SYS_epoll_pwait, fd, events, max_events, timeout, NULL, 0);
}

int epoll_ctl(int fd, int operation, int watched, struct epoll_event *event) {
    struct fault f = fault("epoll-add");
    if (operation == EPOLL_CTL_ADD && has_file_type(watched, S_IFSOCK) && should_fail(f)) return (int)fail_with((int)f.number);
    return (int)syscall(SYS_epoll_ctl, fd, operation, watched, event);
}

int poll(struct pollfd *watched, nfds_t count, int timeout) {
    struct fault f = fault("poll");
    if (should_fail(f)) return (int)fail_with((int)f.number);
    struct timespec limit = {timeout / 1000, timeout % 1000 * 1000000L};
    return (int)syscall(SYS_ppoll, watched, count, timeout < 0 ? NULL : &limit, NULL, 0);
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

static int disk_error(const char *name, int fd) {
    struct fault f = fault(name);
    return (fd < 0 || has_file_type(fd, S_IFREG) || has_file_type(fd, S_IFDIR)) && should_fail(f) ? (int)f.number : 0;
}

static void slow_sync(void) {
    usleep((useconds_t)fault("disk-slow").one_in * 1000);
}

int fsync(int fd) {
    slow_sync();
    int error = disk_error("disk-sync", fd);
    return error ? (int)fail_with(error) : (int)syscall(SYS_fsync, fd);
}

int fdatasync(int fd) {
    slow_sync();
    int error = disk_error("disk-sync", fd);
    return error ? (int)fail_with(error) : (int)syscall(SYS_fdatasync, fd);
}

int ftruncate64(int fd, off64_t length) {
    int error = disk_error("disk-truncate", fd);
    return error ? (int)fail_with(error) : (int)syscall(SYS_ftruncate, fd, length);
}

int rename(const char *from, const char *to) {
    int error = disk_error("disk-rename", -1);
    return error ? (int)fail_with(error) : (int)syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0);
}

int open64(const char *path, int flags, ...) {
    mode_t mode = 0;
    if (flags & O_CREAT) {
        va_list rest;
        va_start(rest, flags);
        mode = va_arg(rest, mode_t);
        va_end(rest);
        int error = disk_error("disk-open", -1);
        if (error) return (int)fail_with(error);
    }
    return (int)syscall(SYS_openat, AT_FDCWD, path, flags, mode);
}
