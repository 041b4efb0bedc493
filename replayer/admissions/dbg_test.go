package admissions_test
import ("testing";"os";"fmt"
"github.com/carawaybeam/carawaybeam/replayer/queuer"
"github.com/carawaybeam/carawaybeam/replayer/routes"
"github.com/carawaybeam/carawaybeam/tracer")
func TestDbg(t *testing.T){
 f,_:=os.Open("../../traces/limiter/floodingOrganisation.jsonl")
 h,ev,_:=tracer.Read[queuer.Event](f,"limiter")
 fl,_:=routes.New(routes.Options{Header:h,Events:ev,Router:"expected",Limiter:"fair",Returns:3})
 type row struct{n,ref,ret,retref,miss,in int}
 m:=map[[2]int]*row{}
 for _,x:=range fl.Play(){ k:=[2]int{int(x.At.Seconds())/5,0}; if x.Organisation=="org-1"{k[1]=1}; r:=m[k]; if r==nil{r=&row{};m[k]=r}
  if x.Returned>0 {r.ret++; if x.Refused{r.retref++}} else {r.n++; if x.Refused {r.ref++}}
  if x.InTarget(){r.in++} else if !x.Refused {r.miss++}}
 for i:=0;i<25;i++{for o:=0;o<2;o++{ if r:=m[[2]int{i,o}];r!=nil{fmt.Printf("t %3d flood %d new %d refused %d returned %d refused %d missed %d in %d\n",i*5,o,r.n,r.ref,r.ret,r.retref,r.miss,r.in)}}}
}
