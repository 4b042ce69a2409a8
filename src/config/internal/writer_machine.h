#ifndef LAPISHATCH_CONFIG_INTERNAL_WRITER_MACHINE_H_
#define LAPISHATCH_CONFIG_INTERNAL_WRITER_MACHINE_H_

#include <cstdint>
#include <memory>

namespace lapishatch::config::internal {

/// What the machine tells its writer to do; see ChangeWriter::Impl.
class WriterActions {
 public:
  virtual ~WriterActions() = default;
  virtual void TakeWaiting() = 0;
  virtual void ReadHeads() = 0;
  virtual void Prepare() = 0;
  virtual void SendAgain() = 0;
  virtual void Pause() = 0;
  virtual void Resolve() = 0;
  virtual void PauseResolving() = 0;
  virtual void AnswerWritten() = 0;
  virtual void AnswerUnwritten() = 0;
  virtual void AnswerUnknown() = 0;
  virtual bool knows_heads() const = 0;
  virtual bool may_be_written() const = 0;
};

/// What happens to a writer.
enum class WriterEvent : std::uint8_t {
  kSetsWait,
  kHeadsRead,
  kReadingFailed,
  /// Nothing was judged acceptable, against heads read after the sets came.
  kNothingToWrite,
  kHeadsNeeded,
  kCommitDone,
  kCommitConflict,
  kCommitRefused,
  kCommitUnknown,
  kFoundWritten,
  kFoundUnwritten,
  /// The heads have not moved: the transaction may yet arrive.
  kNotThereYet,
  kPauseOver,
  kPatienceOver,
};

/// How sets get into the table: the sets that wait become one transaction; a
/// lost race is run again against what won; an outcome that is not known is
/// looked up in the log before anything else is written.
class WriterMachine {
 public:
  /// Begins idle. `actions` must outlive it.
  explicit WriterMachine(WriterActions& actions);
  ~WriterMachine();
  WriterMachine(const WriterMachine&) = delete;
  WriterMachine& operator=(const WriterMachine&) = delete;

  /// Takes one event and calls the actions that it leads to. An action may
  /// itself report an event: that one is taken afterwards.
  void Process(WriterEvent event);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lapishatch::config::internal

#endif  // LAPISHATCH_CONFIG_INTERNAL_WRITER_MACHINE_H_
